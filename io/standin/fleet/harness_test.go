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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"
)

// Ports of the processes. Each simulated VM has its own loopback address.
const (
	callerPort  = 21080
	readyPort   = 21081
	controlPort = 21082
	storePort   = 21083
	workerPort  = 21084
	appPort     = 21085
	peerPort    = 21090
)

// Each deployment uses its own loopback network 127.x.y.0/24, with x and y up to 250,
// so that a listener of an earlier test cannot conflict with it. The networks of an
// execution of the tests are shifted by networkStride times its process id.
const (
	maxNetworks   = 62000
	networkStride = 331
)

// deploymentCount is the number of deployments of this execution.
var deploymentCount atomic.Int64

// nextNetwork returns the number of a network that no deployment of this execution
// has used and that another execution on this machine is unlikely to use.
func nextNetwork() int {
	return int(deploymentCount.Add(1)+int64(os.Getpid())*networkStride) % maxNetworks
}

func addr(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

func startRequest(w *Worker, task string, leaseUntil time.Duration) platform.StartRequest {
	return platform.StartRequest{Worker: w.id, Task: task, Run: 1, Payload: "ms=100", LeaseUntil: leaseUntil, Token: 1}
}

// buildProgram builds the real program once and returns the path of the binary.
var buildProgram = sync.OnceValues(func() (string, error) {
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

// process is one process of the program on its own simulated VM.
type process struct {
	name, role, settings, log string
	ip                        netip.Addr
	toStore, toWorker         *Link
	worker                    *Worker

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	// ended waits for the processes that were started.
	ended sync.WaitGroup
}

// deployment is a set of processes of the real program and the fakes they use.
type deployment struct {
	t          testing.TB
	ctx        context.Context
	dir, bin   string
	network    int
	store      *Store
	ledger     *Ledger
	schedulers []*process
	agents     []*process
	// zones is the number of zones of the workers; evacuationDelay is the bound on
	// evacuations in the settings, or 0.
	zones           int
	evacuationDelay time.Duration
	// environment contains further variables of the processes.
	environment []string
	// ended waits for the servers, links and workers.
	ended sync.WaitGroup
	// deltaReports is true if some of the agents send delta reports.
	deltaReports bool
}

// deploymentOption changes a deployment before its processes start.
type deploymentOption func(*deployment)

// withZones spreads the workers over n zones, which can be evacuated within delay.
func withZones(n int, delay time.Duration) deploymentOption {
	return func(d *deployment) { d.zones, d.evacuationDelay = n, delay }
}

// withEnvironment adds variables to the environment of the processes.
func withEnvironment(variables ...string) deploymentOption {
	return func(d *deployment) { d.environment = append(d.environment, variables...) }
}

// withAdmission lets the schedulers refuse jobs by their forecast.
func withAdmission() deploymentOption {
	return withEnvironment("ROSEMARYGAP_ADMISSION=forecast")
}

// withDeltaReports lets the agents with odd numbers send delta reports. If the processes
// with odd numbers run an earlier build, it is the agents with even numbers.
func withDeltaReports() deploymentOption {
	return func(d *deployment) { d.deltaReports = true }
}

// hasOddNumber reports whether the number of p is odd.
func (p *process) hasOddNumber() bool { return strings.ContainsAny(p.name[len(p.name)-1:], "13579") }

// zoneName returns the name of zone n.
func zoneName(n int) string { return fmt.Sprintf("zone-%d", n) }

func (d *deployment) vmIP(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(d.network / 250), byte(1 + d.network%250), byte(n)})
}

func addrPort(ip netip.Addr, port int) netip.AddrPort { return netip.AddrPortFrom(ip, uint16(port)) }

// newDeployment starts the given numbers of schedulers, and of agents with their
// workers.
func newDeployment(t testing.TB, schedulers, agents int, options ...deploymentOption) *deployment {
	bin, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{t: t, ctx: ctx, dir: t.TempDir(), bin: bin, network: nextNetwork(), store: NewStore(), ledger: NewLedger()}
	for _, o := range options {
		o(d)
	}
	t.Cleanup(func() { d.close(cancel) })
	d.store.Observe(d.ledger.RecordWrite)
	d.ended.Go(d.watchMachine)
	d.serve(addrPort(d.vmIP(1), storePort), platformtest.StoreHandler(d.store))
	d.putConfiguration(1)
	var seeds []netip.AddrPort
	var names []string
	for i := range schedulers {
		names = append(names, fmt.Sprintf("scheduler-%d", i))
		seeds = append(seeds, addrPort(d.vmIP(11+i), controlPort))
	}
	d.ledger.SetSchedulers(names...)
	for i := range schedulers {
		p := &process{name: names[i], role: "scheduler", ip: d.vmIP(11 + i)}
		d.launch(p, platform.Settings{CallerListen: addrPort(p.ip, callerPort), ReadinessListen: addrPort(p.ip, readyPort),
			ControlListen: addrPort(p.ip, controlPort), Seeds: seeds})
		d.schedulers = append(d.schedulers, p)
	}
	for i := range agents {
		p := &process{name: fmt.Sprintf("agent-%d", i), role: "agent", ip: d.vmIP(21 + i)}
		p.worker = NewWorker(fmt.Sprintf("i-%d", i), "svc", addrPort(p.ip, appPort), addrPort(p.ip, controlPort), d.ledger)
		p.worker.SetAgentName(p.name)
		if d.zones > 0 {
			p.worker.SetZone(zoneName(i % d.zones))
		}
		d.serve(addrPort(p.ip, workerPort), platformtest.WorkerHandler(p.worker))
		p.toWorker = d.startLink(addrPort(p.ip, appPort), addrPort(p.ip, workerPort))
		d.launch(p, platform.Settings{ControlListen: addrPort(p.ip, controlPort), WorkerAddress: addrPort(p.ip, appPort), Service: "svc", Seeds: seeds})
		d.agents = append(d.agents, p)
		d.ended.Go(func() { p.worker.Run(ctx) })
	}
	return d
}

// close kills the processes, and waits until they, the links, the servers and the
// workers have ended. Until then their addresses are in use.
func (d *deployment) close(cancel context.CancelFunc) {
	cancel() // from here on, start starts no process
	all := append(d.schedulers[:len(d.schedulers):len(d.schedulers)], d.agents...)
	for _, p := range all {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range all {
		p.ended.Wait()
	}
	d.ended.Wait()
}

func (d *deployment) serve(a netip.AddrPort, h http.Handler) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		d.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	d.ended.Go(func() { _ = s.Serve(l) })
	d.ended.Go(func() { <-d.ctx.Done(); s.Close() })
}

func (d *deployment) startLink(from, to netip.AddrPort) *Link {
	l, err := NewLink(from, to)
	if err != nil {
		d.t.Fatal(err)
	}
	d.ended.Go(func() { l.Run(d.ctx) })
	return l
}

// launch writes the settings file of p and starts p.
func (d *deployment) launch(p *process, s platform.Settings) {
	p.toStore = d.startLink(addrPort(p.ip, storePort), addrPort(d.vmIP(1), storePort))
	s.Name, s.Zone, s.IP, s.PeerPort = p.name, "z", p.ip, peerPort
	s.MemoryLimitMiB, s.CPUShare, s.StoreAddress, s.MinLeaseTTL = 284, 0.5, addrPort(p.ip, storePort), time.Second
	s.Bounds.MaxWorkerLease, s.Bounds.StopGrace = maxLease, 6*time.Second
	s.Bounds.MaxEvacuationDelay = d.evacuationDelay
	p.settings = filepath.Join(d.dir, p.name+".toml")
	p.log = filepath.Join(d.dir, p.name+".log")
	if err := os.WriteFile(p.settings, []byte(platformtest.EncodeSettings(s)), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.start(p)
}

// start starts the process of p unless it is running.
func (d *deployment) start(p *process) { d.startAs(p, d.ledger.Disturb) }

// startAs is start with the method of the ledger that records the start.
func (d *deployment) startAs(p *process, record func(names ...string) (end func())) {
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
	bin := d.bin
	if *earlierBuild != "" && p.hasOddNumber() {
		bin = *earlierBuild
	}
	cmd := exec.Command(bin, p.role)
	cmd.Env = append(append(os.Environ(), d.environment...), platform.SettingsPathEnv+"="+p.settings)
	if d.deltaReports && p.hasOddNumber() == (*earlierBuild == "") {
		cmd.Env = append(cmd.Env, "ROSEMARYGAP_REPORTS=changes")
	}
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	p.cmd = cmd
	p.starts++
	record(p.name)()
	p.ended.Go(func() {
		_ = cmd.Wait()
		f.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == cmd {
			p.cmd = nil
		}
	})
}

// Parameters of watchMachine.
const (
	timerPeriod = 20 * time.Millisecond
	// maxTimerDelay is the delay of a timer from which on the machine counts as
	// overloaded. A process takes some tens of steps for what the ledger expects within
	// 2 s, each of which may be as late as the timer.
	maxTimerDelay = 100 * time.Millisecond
)

// watchMachine records the times at which the machine is too loaded to tell whether a
// process acts in time.
func (d *deployment) watchMachine() {
	for d.ctx.Err() == nil {
		due := time.Now().Add(timerPeriod)
		time.Sleep(timerPeriod)
		if late := time.Since(due); late > maxTimerDelay {
			d.ledger.Disturb(machineName)()
		}
	}
}

// signal sends s to the process of p if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// running reports whether the process of p is running.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// startCount returns how often p was started.
func (p *process) startCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// putConfiguration writes the configuration with the given version. It has one
// more queue than the previous version.
func (d *deployment) putConfiguration(version int64) {
	c := job.Configuration{Version: version, Queues: []job.Queue{{Name: "jobs", Host: "jobs.example", Prefix: "/jobs/",
		Service: "svc", MaxFailures: maxFailures, Stretch: 2, Target: time.Second}}}
	for v := int64(2); v <= version; v++ {
		c.Queues = append(c.Queues, job.Queue{Name: fmt.Sprintf("v%d", v), Host: "jobs.example",
			Prefix: fmt.Sprintf("/v%d/", v), Service: "svc", MaxFailures: maxFailures, Stretch: 2})
	}
	b, err := platformtest.EncodeConfiguration(c)
	if err != nil {
		d.t.Fatal(err)
	}
	d.store.Put(platform.ConfigurationKey, b)
	d.ledger.RecordConfiguration(version)
}

// request sends a caller's request to a scheduler and returns the status code and
// body of the response, or 0 if there was no response.
func (d *deployment) request(c *http.Client, p *process, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(d.ctx, 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addrPort(p.ip, callerPort).String()+path, bytes.NewReader(body))
	if err != nil {
		d.t.Error(err)
		return 0, nil
	}
	r.Host = "jobs.example"
	response, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, b.Bytes()
}
