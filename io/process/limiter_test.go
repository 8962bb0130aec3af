package process

import (
	"testing"

	"github.com/matryer/is"
)

// At the limits of the users' sites, the connections and the receive buffers of the kernel
// fit beside the state of the process, and descriptors are left for files and for as many
// outgoing connections.
func TestLimitsOfSites(t *testing.T) {
	const receiveBuffer = 32 << 10
	for _, site := range []struct {
		memoryMiB   int64
		descriptors int
	}{{128, 4100}, {152, 4096}, {160, 4100}, {184, 4100}, {284, 4100}, {536, 8192}, {640, 4096}} {
		is := is.New(t)
		l := limitsOf(site.memoryMiB, site.descriptors)
		memory := site.memoryMiB << 20
		connections := min(int64(l.Connections), l.Bytes/l.ConnectionBytes)
		is.True(connections >= 1000)
		is.True(l.Bytes <= memory*memoryLimitPercent/100/2)
		is.True(connections*receiveBuffer <= memory*(100-memoryLimitPercent)/100)
		is.True(2*l.Connections+fileDescriptors <= site.descriptors)
	}
}

// Small descriptor limits leave room for connections, and no limits mean those of the
// operating system.
func TestLimitsWithoutSettings(t *testing.T) {
	is := is.New(t)
	is.Equal(limitsOf(96, 100).Connections, 25)
	is.Equal(limitsOf(96, 1).Connections, minConnections)
	l := limitsOf(0, 0)
	is.Equal(l.Bytes, int64(defaultConnectionBytes))
	is.Equal(l.Connections, maxConnections(systemDescriptors()))
}
