// Package deployment starts real processes of rosemarygap and of
// rosemarygap-standin on the loopback interface, for tests that kill or freeze
// processes or cut their connections.
//
// Invariant: the package signals only processes that it started, and all of them
// have exited when the test ends.
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
	"syscall"
	"testing"
	"time"

	"rosemarygap/core/operator"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"
)

const (
	stopTimeout  = 20 * time.Second
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// buildPrograms compiles the programs once per test process. It returns their
// directory, or the output of the compiler and an error.
var buildPrograms = sync.OnceValues(func() (string, error) {
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
	// LogPath is the path of the file with the output of the process.
	LogPath string

	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

// Entry is an entry process with its listen addresses.
type Entry struct {
	*Process
	ID, Zone                      string
	Caller, Peer, Operator, Admin netip.AddrPort
}

// Standin is a process of rosemarygap-standin, which is a fake of the key-value
// service, a worker or an endpoint, with its listen address.
type Standin struct {
	*Process
	ID      string
	Address netip.AddrPort
}

// Deployment is the set of processes of one test.
type Deployment struct {
	t         testing.TB
	binDir    string
	logDir    string
	client    *httpjson.Client
	Store     *Standin
	Entries   []*Entry
	processes []*Process
}

// KillAll kills every process, for a test that does not need a graceful stop.
func (d *Deployment) KillAll() {
	for _, p := range d.processes {
		p.Kill()
	}
}

// New starts the fake of the key-value service and the given number of
// entries. The entries are spread over three availability zones.
func New(t testing.TB, entries int) *Deployment {
	t.Helper()
	bin, err := buildPrograms()
	if err != nil {
		t.Fatalf("go build failed: %v: %s", err, bin)
	}
	d := &Deployment{t: t, binDir: bin, logDir: t.TempDir(), client: httpjson.NewClient(5 * time.Second)}
	t.Cleanup(d.client.Close)
	a := FreeAddress(t)
	p := d.startProcess("platform", "rosemarygap-standin", "platform", "--listen", a.String())
	d.Store = &Standin{Process: p, ID: "platform", Address: a}
	d.waitListening(a)
	for range entries {
		d.StartEntry()
	}
	return d
}

func (d *Deployment) startProcess(name, program string, args ...string) *Process {
	d.t.Helper()
	log, err := os.Create(filepath.Join(d.logDir, name+".log"))
	if err != nil {
		d.t.Fatal(err)
	}
	defer log.Close()
	p := &Process{Name: name, LogPath: log.Name(), exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(d.binDir, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	d.processes = append(d.processes, p)
	d.t.Cleanup(func() { p.terminate() })
	return p
}

// terminate ends the process even if it is frozen, and kills it after
// stopTimeout.
func (p *Process) terminate() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

func (p *Process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process with SIGKILL and waits for its exit.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Freeze suspends the process until Resume.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// BeginStop requests a graceful stop and does not wait for it.
func (p *Process) BeginStop() { p.signal(syscall.SIGTERM) }

// Stop requests a graceful stop and waits for the exit of the process. It returns
// the exit error of the process, or context.DeadlineExceeded if the process did
// not exit within stopTimeout.
func (p *Process) Stop() error {
	p.BeginStop()
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(stopTimeout):
		return context.DeadlineExceeded
	}
}

// StartEntry starts one more entry. The extra flags are appended to the default
// flags.
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

// RestartEntry starts the entry e again with the same id and addresses.
func (d *Deployment) RestartEntry(e *Entry, extra ...string) {
	d.t.Helper()
	args := []string{"entry", "--id", e.ID, "--zone", e.Zone,
		"--caller-listen", e.Caller.String(), "--peer-listen", e.Peer.String(),
		"--operator-listen", e.Operator.String(), "--admin-listen", e.Admin.String(),
		"--platform", d.Store.Address.String(), "--stop-delay", "500ms"}
	e.Process = d.startProcess(e.ID+"-"+time.Now().Format("150405.000"), "rosemarygap", append(args, extra...)...)
	d.waitListening(e.Admin)
}

// callerFlags returns the flags that name the caller address of each entry.
func (d *Deployment) callerFlags() []string {
	out := []string{"--entry"}
	for _, e := range d.Entries {
		out = append(out, e.Caller.String())
	}
	return out
}

// StartEndpoint starts an endpoint of a service. The extra flags are appended to
// the default flags.
func (d *Deployment) StartEndpoint(id, service, zone string, extra ...string) *Standin {
	return d.startStandin("endpoint", id, append([]string{"--service", service, "--zone", zone}, extra...))
}

// StartWorker starts a worker. The extra flags are appended to the default flags.
func (d *Deployment) StartWorker(id, zone string, extra ...string) *Standin {
	return d.startStandin("worker", id, append([]string{"--zone", zone}, extra...))
}

func (d *Deployment) startStandin(kind, id string, flags []string) *Standin {
	d.t.Helper()
	a := FreeAddress(d.t)
	args := append([]string{kind, "--listen", a.String(), "--id", id}, flags...)
	args = append(args, d.callerFlags()...)
	p := d.startProcess(id+"-"+time.Now().Format("150405.000"), "rosemarygap-standin", args...)
	d.waitListening(a)
	return &Standin{Process: p, ID: id, Address: a}
}

func (d *Deployment) waitListening(a netip.AddrPort) {
	d.t.Helper()
	d.Eventually("listening on "+a.String(), readyTimeout, func() bool {
		c, err := net.DialTimeout("tcp", a.String(), time.Second)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
}

// Eventually fails the test unless condition returns true within timeout. The
// text what describes the condition.
func (d *Deployment) Eventually(what string, timeout time.Duration, condition func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			d.t.Fatalf("condition was not met within %v: %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// Call sends a JSON request and decodes the response into out.
func (d *Deployment) Call(method string, to netip.AddrPort, path string, in, out any) error {
	return d.client.Call(context.Background(), method, to, path, in, out)
}

// SetFaults sets the faults that a process of rosemarygap-standin injects.
func (d *Deployment) SetFaults(to netip.AddrPort, path string, faults any) {
	d.t.Helper()
	if err := d.Call(http.MethodPost, to, path, faults, nil); err != nil {
		d.t.Fatal(err)
	}
}

// ReadConfig reads a configuration document from a file.
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

// Apply submits doc as the configuration and waits until it is in force at every
// entry.
func (d *Deployment) Apply(doc operator.Document, changeID string) operator.AcceptedConfig {
	d.t.Helper()
	var current, accepted operator.AcceptedConfig
	_ = d.Call(http.MethodGet, d.Entries[0].Operator, "/api/config", nil, &current)
	edit := operator.Edit{Revision: current.Revision, ChangeID: changeID, Document: doc}
	if err := d.Call(http.MethodPut, d.Entries[0].Operator, "/api/config", edit, &accepted); err != nil {
		d.t.Fatal(err)
	}
	for _, e := range d.Entries {
		d.Eventually("configuration at "+e.ID, readyTimeout, func() bool {
			var got operator.AcceptedConfig
			err := d.Call(http.MethodGet, e.Operator, "/api/config", nil, &got)
			return err == nil && got.Revision >= accepted.Revision
		})
	}
	return accepted
}

// CallRaw sends a JSON request and returns the response as undecoded JSON.
func (d *Deployment) CallRaw(method string, to netip.AddrPort, path string, in any) (json.RawMessage, error) {
	var out json.RawMessage
	err := d.Call(method, to, path, in, &out)
	return out, err
}
