// Package deployment starts real processes of rosemarygap and of the
// stand-ins on loopback, for tests whose cause is a kill, a freeze or a cut.
//
// Invariant: only processes that the package started are signalled, and all
// of them have ended when the test ends.
package deployment

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rosemarygap/core/operator"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"
)

// Time limits of the helpers.
const (
	stopLimit = 20 * time.Second
	readyWait = 15 * time.Second
	pollEvery = 20 * time.Millisecond
)

// build compiles the programs once for each test process.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "rosemarygap-bin-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "rosemarygap/cmd/...").CombinedOutput()
	if err != nil {
		return string(out), err
	}
	return dir, nil
})

// Process is one running process.
type Process struct {
	Name string
	// Log is the path of its output.
	LogPath string

	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

// Entry is an entry's process with its addresses.
type Entry struct {
	*Process
	ID, Zone                      string
	Caller, Peer, Operator, Admin netip.AddrPort
}

// Standin is a stand-in's process with its address.
type Standin struct {
	*Process
	ID      string
	Address netip.AddrPort
}

// Deployment is a set of processes that belong to one test.
type Deployment struct {
	t       testing.TB
	bin     string
	dir     string
	client  *httpjson.Client
	Store   *Standin
	Entries []*Entry
	started []*Process
}

// KillAll ends every process at once, for a test that has seen enough.
func (d *Deployment) KillAll() {
	for _, p := range d.started {
		p.Kill()
	}
}

// New starts the key-value service's stand-in and as many entries as given,
// one in each of three availability zones in turn.
func New(t testing.TB, entries int) *Deployment {
	t.Helper()
	bin, err := build()
	if err != nil {
		t.Fatalf("build: %v: %s", err, bin)
	}
	d := &Deployment{t: t, bin: bin, dir: t.TempDir(), client: httpjson.NewClient(5 * time.Second)}
	t.Cleanup(d.client.Close)
	a := FreeAddress(t)
	p := d.start("platform", "rosemarygap-standin", "platform", "--listen", a.String())
	d.Store = &Standin{Process: p, ID: "platform", Address: a}
	d.waitListening(a)
	for range entries {
		d.StartEntry()
	}
	return d
}

// Ports for tests lie below those that the system gives to outgoing
// connections, which could take a port between its choice and its use.
const (
	firstPort = 10000
	lastPort  = 20000
)

// nextPort is the last port that was handed out; each test process starts at
// another one.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 61) }

// FreeAddress returns a loopback address that nothing listens on and that no
// other call in this process returned lately.
func FreeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
		l, err := net.Listen("tcp", a.String())
		if err == nil {
			l.Close()
			return a
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

func (d *Deployment) start(name, program string, args ...string) *Process {
	d.t.Helper()
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		d.t.Fatal(err)
	}
	defer log.Close()
	p := &Process{Name: name, LogPath: log.Name(), ended: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(d.bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	d.started = append(d.started, p)
	d.t.Cleanup(func() { p.finish() })
	return p
}

// finish ends the process however it stands.
func (p *Process) finish() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(stopLimit):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

func (p *Process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once, as kill -9 does.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// Freeze stops the process until Wake.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Wake lets a frozen process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// BeginStop asks for a planned stop and returns at once.
func (p *Process) BeginStop() { p.signal(syscall.SIGTERM) }

// Stop asks for a planned stop and waits for its end; it returns the
// process's exit error, or an error if it did not end in time.
func (p *Process) Stop() error {
	p.BeginStop()
	select {
	case <-p.ended:
		return p.err
	case <-time.After(stopLimit):
		return context.DeadlineExceeded
	}
}

// StartEntry starts one more entry; extra flags follow the usual ones.
func (d *Deployment) StartEntry(extra ...string) *Entry {
	d.t.Helper()
	n := len(d.Entries)
	zones := []string{"kelowna", "vernon", "penticton"}
	id := "entry-" + string(rune('a'+n))
	e := &Entry{ID: id, Zone: zones[n%len(zones)], Caller: FreeAddress(d.t),
		Peer: FreeAddress(d.t), Operator: FreeAddress(d.t), Admin: FreeAddress(d.t)}
	d.Entries = append(d.Entries, e)
	d.RestartEntry(e, extra...)
	return e
}

// RestartEntry starts the entry e again with the same name and addresses.
func (d *Deployment) RestartEntry(e *Entry, extra ...string) {
	d.t.Helper()
	args := []string{"entry", "--id", e.ID, "--zone", e.Zone,
		"--caller-listen", e.Caller.String(), "--peer-listen", e.Peer.String(),
		"--operator-listen", e.Operator.String(), "--admin-listen", e.Admin.String(),
		"--platform", d.Store.Address.String(), "--stop-delay", "500ms"}
	e.Process = d.start(e.ID+"-"+time.Now().Format("150405.000"), "rosemarygap", append(args, extra...)...)
	d.waitListening(e.Admin)
}

// callerAddresses returns the caller address of each entry, as flags.
func (d *Deployment) callerAddresses() []string {
	out := []string{"--entry"}
	for _, e := range d.Entries {
		out = append(out, e.Caller.String())
	}
	return out
}

// StartEndpoint starts an endpoint of a service; extra flags are appended.
func (d *Deployment) StartEndpoint(id, service, zone string, extra ...string) *Standin {
	return d.standin("endpoint", id, append([]string{"--service", service, "--zone", zone}, extra...))
}

// StartWorker starts a worker; extra flags are appended.
func (d *Deployment) StartWorker(id, zone string, extra ...string) *Standin {
	return d.standin("worker", id, append([]string{"--zone", zone}, extra...))
}

func (d *Deployment) standin(kind, id string, flags []string) *Standin {
	d.t.Helper()
	a := FreeAddress(d.t)
	args := append([]string{kind, "--listen", a.String(), "--id", id}, flags...)
	args = append(args, d.callerAddresses()...)
	p := d.start(id+"-"+time.Now().Format("150405.000"), "rosemarygap-standin", args...)
	d.waitListening(a)
	return &Standin{Process: p, ID: id, Address: a}
}

func (d *Deployment) waitListening(a netip.AddrPort) {
	d.t.Helper()
	d.Eventually("listening on "+a.String(), readyWait, func() bool {
		c, err := net.DialTimeout("tcp", a.String(), time.Second)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
}

// Eventually fails the test unless ready returns true within limit.
func (d *Deployment) Eventually(what string, limit time.Duration, ready func() bool) {
	d.t.Helper()
	end := time.Now().Add(limit)
	for !ready() {
		if time.Now().After(end) {
			d.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(pollEvery)
	}
}

// Call sends one JSON message.
func (d *Deployment) Call(method string, to netip.AddrPort, path string, in, out any) error {
	return d.client.Call(context.Background(), method, to, path, in, out)
}

// Fault sets the switches of a stand-in.
func (d *Deployment) SetFaults(to netip.AddrPort, path string, faults any) {
	d.t.Helper()
	if err := d.Call(http.MethodPost, to, path, faults, nil); err != nil {
		d.t.Fatal(err)
	}
}

// ReadConfig reads a document from a file.
func ReadConfig(t testing.TB, path string) operator.Document {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var d operator.Document
	if err := wire.Unmarshal(b, &d); err != nil {
		t.Fatal(err)
	}
	return d
}

// Apply makes doc take effect at every entry.
func (d *Deployment) Apply(doc operator.Document, changeID string) operator.AcceptedConfig {
	d.t.Helper()
	var now, done operator.AcceptedConfig
	_ = d.Call(http.MethodGet, d.Entries[0].Operator, "/api/config", nil, &now)
	edit := operator.Edit{Revision: now.Revision, ChangeID: changeID, Document: doc}
	if err := d.Call(http.MethodPut, d.Entries[0].Operator, "/api/config", edit, &done); err != nil {
		d.t.Fatal(err)
	}
	for _, e := range d.Entries {
		d.Eventually("configuration at "+e.ID, readyWait, func() bool {
			var got operator.AcceptedConfig
			err := d.Call(http.MethodGet, e.Operator, "/api/config", nil, &got)
			return err == nil && got.Revision >= done.Revision
		})
	}
	return done
}

// Raw returns the whole answer of a message as JSON text, for checks of
// fields that have no type.
func (d *Deployment) CallRaw(method string, to netip.AddrPort, path string, in any) (json.RawMessage, error) {
	var out json.RawMessage
	err := d.Call(method, to, path, in, &out)
	return out, err
}
