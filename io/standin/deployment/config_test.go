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

// inForceTimeout is the time within which an accepted configuration must be in
// force at every entry.
const inForceTimeout = 6 * time.Second

// tcpProxy forwards TCP connections between an entry and the store until it is
// cut.
type tcpProxy struct {
	Address netip.AddrPort

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

// newTCPProxy starts a proxy on a loopback port that forwards to target.
func newTCPProxy(t *testing.T, target netip.AddrPort) *tcpProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &tcpProxy{Address: l.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c, target)
		}
	}()
	return p
}

func (p *tcpProxy) forward(c net.Conn, target netip.AddrPort) {
	defer c.Close()
	upstream, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	defer upstream.Close()
	p.mu.Lock()
	if p.cut {
		p.mu.Unlock()
		return
	}
	p.conns = append(p.conns, c, upstream)
	p.mu.Unlock()
	go func() { _, _ = io.Copy(upstream, c) }()
	_, _ = io.Copy(c, upstream)
}

// Cut closes all connections, and closes new ones at once until Restore.
func (p *tcpProxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

// Restore makes the proxy accept connections again.
func (p *tcpProxy) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
}

// configEditor edits the configuration and checks that the revision in force never
// decreases at any process.
type configEditor struct {
	*Deployment
	t            *testing.T
	doc          operator.Document
	lastAccepted operator.AcceptedConfig
	changeCount  int
	// newestRevisions holds the newest revision that each process reported.
	newestRevisions map[*Process]int64
}

// putEdit sends the next edit to e. The change id stays the same until an edit is
// accepted.
func (d *configEditor) putEdit(e *Entry) (operator.AcceptedConfig, error) {
	var accepted operator.AcceptedConfig
	err := d.Call(http.MethodPut, e.Operator, "/api/config", d.nextEdit(), &accepted)
	if err == nil {
		d.lastAccepted = accepted
		d.changeCount++
	}
	return accepted, err
}

// revision returns the revision in force at e, or 0 if e reports none.
func (d *configEditor) revision(e *Entry) int64 {
	var got operator.AcceptedConfig
	if d.Call(http.MethodGet, e.Operator, "/api/config", nil, &got) != nil {
		return 0
	}
	if got.Revision < d.newestRevisions[e.Process] {
		d.t.Fatalf("%s reverted from revision %d to %d", e.ID, d.newestRevisions[e.Process], got.Revision)
	}
	d.newestRevisions[e.Process] = got.Revision
	return got.Revision
}

// waitInForce waits until the last accepted revision is in force at all of the
// entries, and fails the test after inForceTimeout.
func (d *configEditor) waitInForce(what string, entries ...*Entry) {
	began := time.Now()
	for _, e := range entries {
		d.Eventually(what+": in force at "+e.ID, inForceTimeout-time.Since(began),
			func() bool { return d.revision(e) >= d.lastAccepted.Revision })
	}
	d.t.Logf("%s: revision %d in force at %d entries after %v", what, d.lastAccepted.Revision,
		len(entries), time.Since(began).Round(time.Millisecond))
}

// putUntilAccepted sends one edit repeatedly until it is accepted. If the test
// fails, it logs the last response.
func (d *configEditor) putUntilAccepted(e *Entry) {
	d.t.Helper()
	var last error
	d.t.Cleanup(func() {
		if last != nil && d.t.Failed() {
			d.t.Logf("last response of %s: %v", e.ID, last)
		}
	})
	d.Eventually("edit accepted", inForceTimeout, func() bool {
		_, last = d.putEdit(e)
		return last == nil
	})
}

func (d *configEditor) setStoreFaults(f platform.Faults) { d.SetFaults(d.Store.Address, "/faults", f) }

// An accepted configuration must be in force at every entry within inForceTimeout
// and must never be reverted. The faults are lost responses, a slow store, a store
// outage with a restart of an entry, an entry cut off from the store, a frozen
// entry, and kills of the entry that receives the edit. No edit may take effect
// twice, and a rejected edit must have no effect.
func TestConfigurationThroughFaults(t *testing.T) {
	base := New(t, 0)
	storeProxy := newTCPProxy(t, base.Store.Address)
	a, b := base.StartEntry(), base.StartEntry()
	proxyFlags := []string{"--peer", a.Peer.String(), b.Peer.String(), "--platform", storeProxy.Address.String()}
	c := base.StartEntry(proxyFlags...)
	d := &configEditor{Deployment: base, t: t, newestRevisions: map[*Process]int64{},
		doc: ReadConfig(t, "../../../examples/kettle-valley.json")}
	d.putUntilAccepted(a)
	d.waitInForce("first edit", a, b, c)
	d.testStoreFaults(a, b, c, proxyFlags)
	storeProxy.Cut()
	d.putUntilAccepted(b)
	d.waitInForce("cut from the store", a, b, c)
	storeProxy.Restore()
	b.Freeze()
	d.putUntilAccepted(a)
	b.Resume()
	d.waitInForce("entry resumed", a, b, c)
	for i := range 5 {
		d.testKilledEntry(time.Duration(i)*700*time.Microsecond, a, b, c)
	}
}

// testStoreFaults edits the configuration while the store loses responses, is slow,
// and is down. It restarts c with the flags proxyFlags in the outage.
func (d *configEditor) testStoreFaults(a, b, c *Entry, proxyFlags []string) {
	is := is.New(d.t)
	d.setStoreFaults(platform.Faults{DropResponses: 1000})
	d.putUntilAccepted(b)
	d.setStoreFaults(platform.Faults{})
	is.Equal(d.lastAccepted.Revision, int64(2)) // the repeated edit made one revision
	d.waitInForce("store responses lost", a, b, c)
	d.setStoreFaults(platform.Faults{Delay: wire.Duration(400 * time.Millisecond)})
	d.putUntilAccepted(a)
	d.waitInForce("slow store", a, b, c)
	d.setStoreFaults(platform.Faults{Down: true})
	_, err := d.putEdit(a)
	is.True(errors.Is(err, status.ErrStoreUnavailable) && status.RetryAfterOf(err) > 0)
	c.Kill()
	d.RestartEntry(c, proxyFlags...)
	d.waitInForce("restart during an outage", a, b, c)
	is.Equal(d.revision(a), int64(3)) // the rejected edit had no effect
	d.setStoreFaults(platform.Faults{})
}

// testKilledEntry sends an edit to the entry a, kills a after the given delay,
// sends the same edit to b and restarts a.
func (d *configEditor) testKilledEntry(after time.Duration, a, b, c *Entry) {
	before := d.lastAccepted.Revision
	requestDone := make(chan struct{})
	go func() {
		defer close(requestDone)
		_, _ = d.CallRaw(http.MethodPut, a.Operator, "/api/config", d.nextEdit())
	}()
	time.Sleep(after)
	a.Kill()
	<-requestDone
	d.putUntilAccepted(b)
	is.New(d.t).Equal(d.lastAccepted.Revision, before+1) // the edit was sent twice and took effect once
	d.RestartEntry(a)
	d.waitInForce("accepting entry killed", a, b, c)
}

// nextEdit returns the edit that putEdit sends next.
func (d *configEditor) nextEdit() operator.Edit {
	doc := d.doc
	doc.Services = append([]operator.Service{}, d.doc.Services...)
	doc.Services[0].QueueLimit = 100 + d.changeCount
	return operator.Edit{Revision: d.lastAccepted.Revision, ChangeID: fmt.Sprintf("change-%d", d.changeCount), Document: doc}
}
