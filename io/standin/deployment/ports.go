package deployment

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

// The range of ports for tests lies below the ephemeral ports of the system. An
// outgoing connection could otherwise take a port between its choice and its use.
const (
	firstPort     = 10000
	portsPerBlock = 80 // scripts/up.sh needs 76
	portBlocks    = 125
)

// addressPool hands out loopback addresses. It claims blocks of ports by locks on files, which
// the system releases when the process ends, so that test processes that run side by
// side never choose the same port.
type addressPool struct {
	mu sync.Mutex
	// locks are the locked files of the claimed blocks. They stay open.
	locks []*os.File
	// next and end delimit the ports of the newest block that are left.
	next, end int
}

var addresses addressPool

// FreeAddress returns a loopback address that nothing listens on. No address is returned
// twice while the test process runs, nor by two test processes.
func FreeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	a, err := addresses.take()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// take returns the next address of the pool that nothing listens on.
func (p *addressPool) take() (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.claimBlock(); err != nil {
				return netip.AddrPort{}, err
			}
		}
		port := p.next
		p.next++
		if isFree(port) {
			return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)), nil
		}
	}
}

// claimBlock claims a block of ports that no process has claimed and on which nothing
// listens. The caller holds p.mu.
func (p *addressPool) claimBlock() error {
	dir := filepath.Join(os.TempDir(), "rosemarygap-test-ports")
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return err
	}
	for n := range portBlocks {
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprint(n)), os.O_CREATE|os.O_RDWR, 0o666)
		if err != nil {
			return err
		}
		first := firstPort + n*portsPerBlock
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil || !allFree(first) {
			f.Close()
			continue
		}
		p.locks = append(p.locks, f)
		p.next, p.end = first, first+portsPerBlock
		return nil
	}
	return fmt.Errorf("none of the %d blocks of test ports is free; see %s", portBlocks, dir)
}

// takeBlock claims a whole block of ports and returns the first one.
func (p *addressPool) takeBlock() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.claimBlock(); err != nil {
		return 0, err
	}
	first := p.next
	p.next = p.end
	return first, nil
}

// allFree reports whether nothing listens on any port of the block that begins at first.
func allFree(first int) bool {
	for port := first; port < first+portsPerBlock; port++ {
		if !isFree(port) {
			return false
		}
	}
	return true
}

func isFree(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	l.Close()
	return true
}
