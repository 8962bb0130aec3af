package process

import (
	"syscall"
	"time"

	"rosemarygap/core/connection"
	"rosemarygap/io/httpjson"

	"github.com/hashicorp/go-hclog"
)

const (
	// connectionsPercent is the percentage of the memory limit of the process that the
	// connections of clients may hold. Together with the state of the process it stays
	// below memoryLimitPercent.
	connectionsPercent = 30
	// defaultConnectionBytes is what the connections of clients may hold together if the
	// process has no memory limit.
	defaultConnectionBytes = 1 << 30
	// connectionBytes is what a connection holds by itself: its goroutines, buffers and
	// structures, and a small request. A full receive buffer of the kernel is as large, and
	// has room beside the soft memory limit.
	connectionBytes = 32 << 10
	// fileDescriptors is the number of descriptors that are for files.
	fileDescriptors = 200
	// descriptorsPerConnection is the number of descriptors for each connection of a
	// client. Handling its request may take a connection to another process.
	descriptorsPerConnection = 2
	// minConnections is the smallest maximum of connections.
	minConnections = 16
	// bodyTimeout and responseTimeout are the longest times without progress of a body
	// and of a response.
	bodyTimeout     = 10 * time.Second
	responseTimeout = 10 * time.Second
)

// NewLimiter returns a limiter of the connections of clients for a process with the given
// limits of memory, in MiB, and of descriptors. A memory limit of 0 means none, and a
// descriptor limit of 0 that of the operating system.
func NewLimiter(memoryMiB int64, descriptors int, l hclog.Logger, shares ...httpjson.Share) *httpjson.Limiter {
	return httpjson.NewLimiter(limitsOf(memoryMiB, descriptors), l, shares...)
}

func limitsOf(memoryMiB int64, descriptors int) connection.Limits {
	limits := connection.Limits{
		Connections:     maxConnections(descriptors),
		Bytes:           defaultConnectionBytes,
		ConnectionBytes: connectionBytes,
		BodyTimeout:     bodyTimeout,
		ResponseTimeout: responseTimeout,
	}
	if memoryMiB > 0 {
		limits.Bytes = memoryMiB << 20 * connectionsPercent / 100
	}
	return limits
}

// maxConnections returns the maximum of connections of clients. Small limits leave less than
// fileDescriptors for files.
func maxConnections(descriptors int) int {
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	files := min(fileDescriptors, descriptors/2)
	return max(minConnections, (descriptors-files)/descriptorsPerConnection)
}

// systemDescriptors returns the descriptor limit of the operating system.
func systemDescriptors() int {
	const most = 1 << 20
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > most {
		return most
	}
	return int(r.Cur)
}
