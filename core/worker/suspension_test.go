package worker

import (
	"net/netip"
	"testing"
	"time"

	"rosemarygap/core/clock/clocktest"

	"github.com/matryer/is"
)

// An owner that was suspended for longer than it may go without a verification of its
// ownership must send no lease before the next one, although its monotonic clock stood
// still meanwhile.
func TestSuspendedOwnerSendsNoLeases(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := NewCell(0, Timings{Grant: 6 * time.Second, Hold: 10 * time.Second})
	w := c.ensureWorker("worker-1")
	w.address, w.lastAnnounced = netip.MustParseAddrPort("127.0.0.1:1"), now
	c.VerifyEnd(now)
	woken := clocktest.AfterSuspension(now, 11*time.Second)
	is.Equal(len(c.Commands(woken, nil)), 0)
	c.VerifyEnd(woken)
	is.Equal(len(c.Commands(woken, nil)), 1)
}
