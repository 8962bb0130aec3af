package fleet

import (
	"bytes"
	"context"
	"fmt"
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

	"rosemarygap/core/job"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"
)

// Ports of a deployment; each VM has an address of its own on loopback.
const (
	callerPort  = 21080
	readyPort   = 21081
	controlPort = 21082
	storePort   = 21083
	workerPort  = 21084
	appPort     = 21085
	peerPort    = 21090
)

// Loopback networks: 250 times 250, of which a run uses some hundreds.
const (
	maxNetworks    = 62000
	networksPerRun = 331
)

func addr(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

func startOf(w *Worker, task string, lease time.Duration) platform.StartRequest {
	return platform.StartRequest{Worker: w.id, Task: task, Run: 1, Payload: "ms=100", LeaseUntil: lease, Token: 1}
}

// program builds the real program once.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "rosemarygap")
	if err != nil {
		return "", err
	}
	out := filepath.Join(dir, "rosemarygap")
	b, err := exec.Command("go", "build", "-o", out, "rosemarygap/cmd/rosemarygap").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, b)
	}
	return out, nil
})

// proc is one process of the program on its own VM.
type proc struct {
	name, role, settings, log string
	ip                        netip.Addr
	toStore, toWorker         *Link
	worker                    *Worker

	mu    sync.Mutex
	cmd   *exec.Cmd
	lives int
}

// deployment is the real program beside the stand-ins.
type deployment struct {
	t          *testing.T
	ctx        context.Context
	dir, bin   string
	net        int
	store      *Store
	ledger     *Ledger
	schedulers []*proc
	agents     []*proc
}

func (d *deployment) vm(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(d.net / 250), byte(1 + d.net%250), byte(n)})
}

func at(ip netip.Addr, port int) netip.AddrPort { return netip.AddrPortFrom(ip, uint16(port)) }

// newDeployment starts schedulers and agents with their workers.
func newDeployment(t *testing.T, network, schedulers, agents int) *deployment {
	bin, err := program()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	// Another run of these tests on the machine must have other addresses.
	network = (network + os.Getpid()*networksPerRun) % maxNetworks
	d := &deployment{t: t, ctx: ctx, dir: t.TempDir(), bin: bin, net: network, store: NewStore(), ledger: NewLedger()}
	t.Cleanup(func() {
		for _, p := range append(d.schedulers, d.agents...) {
			p.kill(syscall.SIGKILL)
		}
		cancel()
	})
	d.serve(at(d.vm(1), storePort), platformtest.StoreHandler(d.store))
	d.configure(1)
	var seeds []netip.AddrPort
	for i := range schedulers {
		seeds = append(seeds, at(d.vm(11+i), controlPort))
	}
	for i := range schedulers {
		p := &proc{name: fmt.Sprintf("scheduler-%d", i), role: "scheduler", ip: d.vm(11 + i)}
		d.prepare(p, platform.Settings{CallerListen: at(p.ip, callerPort), ReadinessListen: at(p.ip, readyPort),
			ControlListen: at(p.ip, controlPort), Seeds: seeds})
		d.schedulers = append(d.schedulers, p)
	}
	for i := range agents {
		p := &proc{name: fmt.Sprintf("agent-%d", i), role: "agent", ip: d.vm(21 + i)}
		p.worker = NewWorker(fmt.Sprintf("i-%d", i), "svc", at(p.ip, appPort), at(p.ip, controlPort), d.ledger)
		d.serve(at(p.ip, workerPort), platformtest.WorkerHandler(p.worker))
		p.toWorker = d.link(at(p.ip, appPort), at(p.ip, workerPort))
		d.prepare(p, platform.Settings{ControlListen: at(p.ip, controlPort), WorkerAddress: at(p.ip, appPort), Service: "svc", Seeds: seeds})
		d.agents = append(d.agents, p)
		go p.worker.Run(ctx)
	}
	return d
}

func (d *deployment) serve(a netip.AddrPort, h http.Handler) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		d.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	d.t.Cleanup(func() { s.Close() })
}

func (d *deployment) link(from, to netip.AddrPort) *Link {
	l, err := NewLink(from, to)
	if err != nil {
		d.t.Fatal(err)
	}
	go l.Run(d.ctx)
	return l
}

// prepare writes the settings of p and starts it.
func (d *deployment) prepare(p *proc, s platform.Settings) {
	p.toStore = d.link(at(p.ip, storePort), at(d.vm(1), storePort))
	s.Name, s.Zone, s.IP, s.PeerPort = p.name, "z", p.ip, peerPort
	s.MemoryLimitMiB, s.CPUShare, s.StoreAddress, s.MinLeaseTTL = 284, 0.5, at(p.ip, storePort), time.Second
	s.Bounds.MaxWorkerLease, s.Bounds.StopGrace = leaseMax, 6*time.Second
	p.settings = filepath.Join(d.dir, p.name+".toml")
	p.log = filepath.Join(d.dir, p.name+".log")
	if err := os.WriteFile(p.settings, []byte(platformtest.EncodeSettings(s)), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.start(p)
}

// start starts the process of p unless it runs.
func (d *deployment) start(p *proc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || d.ctx.Err() != nil {
		return
	}
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	cmd := exec.Command(d.bin, p.role)
	cmd.Env = append(os.Environ(), platform.SettingsPathEnv+"="+p.settings)
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	p.cmd = cmd
	p.lives++
	go func() {
		_ = cmd.Wait()
		f.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == cmd {
			p.cmd = nil
		}
	}()
}

// kill sends a signal to the process of p if it runs.
func (p *proc) kill(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// life counts the starts of p.
func (p *proc) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}

// configure makes version the configuration; it adds a queue for each.
func (d *deployment) configure(version int64) {
	c := job.Configuration{Version: version, Queues: []job.Queue{{Name: "jobs", Host: "jobs.example", Prefix: "/jobs/",
		Service: "svc", MaxFailures: 3, Stretch: 2, Target: time.Second}}}
	for v := int64(2); v <= version; v++ {
		c.Queues = append(c.Queues, job.Queue{Name: fmt.Sprintf("v%d", v), Host: "jobs.example",
			Prefix: fmt.Sprintf("/v%d/", v), Service: "svc", MaxFailures: 3, Stretch: 2})
	}
	b, err := platformtest.EncodeConfiguration(c)
	if err != nil {
		d.t.Fatal(err)
	}
	d.store.Put(platform.ConfigurationKey, b)
}

// request sends a caller's request to a scheduler; code 0 means no answer.
func (d *deployment) request(c *http.Client, p *proc, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(d.ctx, 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at(p.ip, callerPort).String()+path, bytes.NewReader(body))
	if err != nil {
		d.t.Error(err)
		return 0, nil
	}
	r.Host = "jobs.example"
	w, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer w.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(w.Body); err != nil {
		return 0, nil
	}
	return w.StatusCode, b.Bytes()
}
