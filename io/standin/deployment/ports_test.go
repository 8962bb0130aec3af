package deployment

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Two test processes side by side never choose the same address. Their choices began 61
// ports apart, so that the deployments of one test took the ports of another.
func TestAddressesOfTwoProcessesDiffer(t *testing.T) {
	is := is.New(t)
	var first, second addressPool // the locks of two pools exclude each other as those of two processes
	seen := map[netip.AddrPort]bool{}
	for range 2 * portsPerBlock {
		for _, p := range []*addressPool{&first, &second} {
			a, err := p.take()
			is.NoErr(err)
			is.True(!seen[a]) // each address once
			seen[a] = true
		}
	}
	for _, f := range append(first.locks, second.locks...) {
		is.NoErr(f.Close())
	}
}
