package deployment

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/standin/platform"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// inForceLimit is within which an accepted configuration must be in force
// everywhere.
const inForceLimit = 6 * time.Second

// wireTo is a connection between an entry and the store that can be cut.
type wireTo struct {
	Address netip.AddrPort

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newWire(t *testing.T, to netip.AddrPort) *wireTo {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	w := &wireTo{Address: l.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.carry(c, to)
		}
	}()
	return w
}

func (w *wireTo) carry(c net.Conn, to netip.AddrPort) {
	defer c.Close()
	s, err := net.Dial("tcp", to.String())
	if err != nil {
		return
	}
	defer s.Close()
	w.mu.Lock()
	if w.cut {
		w.mu.Unlock()
		return
	}
	w.conns = append(w.conns, c, s)
	w.mu.Unlock()
	go func() { _, _ = io.Copy(s, c) }()
	_, _ = io.Copy(c, s)
}

// Cut ends all connections and admits none until Mend.
func (w *wireTo) Cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = true
	for _, c := range w.conns {
		c.Close()
	}
	w.conns = nil
}

// Mend admits connections again.
func (w *wireTo) Mend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = false
}

// editor edits the configuration and watches that no process goes back.
type editor struct {
	*Deployment
	t    *testing.T
	doc  operator.Document
	last operator.AcceptedConfig
	n    int
	// highest is the newest revision that each process answered.
	highest map[*Process]int64
}

// put sends the next document to e whose change id is new until it is accepted.
func (d *editor) put(e *Entry) (operator.AcceptedConfig, error) {
	var done operator.AcceptedConfig
	err := d.Call(http.MethodPut, e.Operator, "/api/config", d.next(), &done)
	if err == nil {
		d.last = done
		d.n++
	}
	return done, err
}

// revision asks e for the revision in force, 0 if it has none.
func (d *editor) revision(e *Entry) int64 {
	var got operator.AcceptedConfig
	if d.Call(http.MethodGet, e.Operator, "/api/config", nil, &got) != nil {
		return 0
	}
	if got.Revision < d.highest[e.Process] {
		d.t.Fatalf("%s went back from revision %d to %d", e.ID, d.highest[e.Process], got.Revision)
	}
	d.highest[e.Process] = got.Revision
	return got.Revision
}

// everywhere fails the test unless the last revision is in force at all of
// the entries in time.
func (d *editor) everywhere(what string, entries ...*Entry) {
	began := time.Now()
	for _, e := range entries {
		d.Eventually(what+": in force at "+e.ID, inForceLimit-time.Since(began),
			func() bool { return d.revision(e) >= d.last.Revision })
	}
	d.t.Logf("%s: revision %d in force at %d entries after %v", what, d.last.Revision,
		len(entries), time.Since(began).Round(time.Millisecond))
}

// accepted sends one change until it is accepted.
func (d *editor) accepted(e *Entry) {
	d.t.Helper()
	var last error
	d.t.Cleanup(func() {
		if last != nil && d.t.Failed() {
			d.t.Logf("the last answer of %s: %v", e.ID, last)
		}
	})
	d.Eventually("accepted", inForceLimit, func() bool {
		_, last = d.put(e)
		return last == nil
	})
}

func (d *editor) faults(f platform.Faults) { d.SetFaults(d.Store.Address, "/faults", f) }

// An accepted configuration is in force everywhere in time and never goes
// back, through lost answers, a slow store, an outage with a restart, a cut, a
// freeze, and kills of the entry that accepts it. No change takes effect
// twice, and a refused one not at all.
func TestConfigurationThroughFaults(t *testing.T) {
	base := New(t, 0)
	link := newWire(t, base.Store.Address)
	a, b := base.StartEntry(), base.StartEntry()
	far := []string{"--peer", a.Peer.String(), b.Peer.String(), "--platform", link.Address.String()}
	c := base.StartEntry(far...)
	d := &editor{Deployment: base, t: t, highest: map[*Process]int64{},
		doc: ReadConfig(t, "../../../examples/kettle-valley.json")}
	d.accepted(a)
	d.everywhere("first", a, b, c)
	d.throughStore(a, b, c, far)
	link.Cut()
	d.accepted(b)
	d.everywhere("cut from the store", a, b, c)
	link.Mend()
	b.Freeze()
	d.accepted(a)
	b.Resume()
	d.everywhere("woken", a, b, c)
	for i := range 5 {
		d.throughKill(time.Duration(i)*700*time.Microsecond, a, b, c)
	}
}

// throughStore edits while the store loses answers, is slow, and is down; far
// are the flags with which c starts again.
func (d *editor) throughStore(a, b, c *Entry, far []string) {
	is := is.New(d.t)
	d.faults(platform.Faults{DropResponses: 1000})
	d.accepted(b)
	d.faults(platform.Faults{})
	is.Equal(d.last.Revision, int64(2)) // one change, one revision
	d.everywhere("answers lost", a, b, c)
	d.faults(platform.Faults{Delay: wire.Duration(400 * time.Millisecond)})
	d.accepted(a)
	d.everywhere("slow store", a, b, c)
	d.faults(platform.Faults{Down: true})
	_, err := d.put(a)
	is.True(errors.Is(err, status.ErrStoreUnavailable) && status.RetryAfterOf(err) > 0)
	c.Kill()
	d.RestartEntry(c, far...)
	d.everywhere("restart in an outage", a, b, c)
	is.Equal(d.revision(a), int64(3)) // the refused change had no effect
	d.faults(platform.Faults{})
}

// throughKill kills the entry a some time after it was sent a change, and
// sends the same change to b.
func (d *editor) throughKill(after time.Duration, a, b, c *Entry) {
	before := d.last.Revision
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = d.CallRaw(http.MethodPut, a.Operator, "/api/config", d.next())
	}()
	time.Sleep(after)
	a.Kill()
	<-answered
	d.accepted(b)
	is.New(d.t).Equal(d.last.Revision, before+1) // sent twice, took effect once
	d.RestartEntry(a)
	d.everywhere("accepting entry killed", a, b, c)
}

// next is the edit that the next put sends.
func (d *editor) next() operator.Edit {
	doc := d.doc
	doc.Services = append([]operator.Service{}, d.doc.Services...)
	doc.Services[0].QueueLimit = 100 + d.n
	return operator.Edit{Revision: d.last.Revision, ChangeID: fmt.Sprintf("change-%d", d.n), Document: doc}
}
