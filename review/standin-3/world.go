package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"
)

// Ports of the processes. Each VM has a loopback address of its own.
const (
	frontPort   = 24080
	readyPort   = 24081
	controlPort = 24082
	storePort   = 24083
	appPort     = 24085
	peerPort    = 24090
)

// startRecord is a start that a worker has begun.
type startRecord struct {
	at         time.Time
	worker     int
	task       string
	number     int64
	gang       string
	checkpoint string
}

// endRecord is the end of a run that a worker listed.
type endRecord struct {
	at     time.Time
	task   string
	number int64
	how    job.Outcome
}

// gangState is what the platform knows of one run of a gang: its members work from the moment
// at which all of them are present with the same checkpoint.
type gangState struct {
	members map[string]string
	count   int
	began   time.Time
	broken  bool
}

// process is one process of the program.
type process struct {
	name, role, settings string
	ip                   netip.Addr
	cmd                  *exec.Cmd
	ended                chan struct{}
}

// world is a small deployment: the project's programs, and stand-ins of the platform.
type world struct {
	ctx     context.Context
	cancel  context.CancelFunc
	began   time.Time
	dir     string
	program string
	network int
	store   *fleet.Store
	// handler serves the store; a case may replace it.
	handler    http.Handler
	schedulers []*process
	agents     []*process
	workers    []*worker

	mu     sync.Mutex
	out    *os.File
	work   map[string]time.Duration
	gangs  map[string]*gangState
	starts []startRecord
	// twice counts the starts of tasks that ran on another worker.
	twice int
	// partition is nil unless the agent of worker 0 can be cut off from the schedulers.
	partition *partition
	// quiet is true if starts and ends are not recorded one by one.
	quiet bool
	ends  []endRecord
	// accepted are the jobs that were answered with success.
	accepted map[string]time.Time
}

func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked(format, args...)
}

func (w *world) recordLocked(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(w.out, line)
	fmt.Println(line)
}

func (w *world) recordStart(x *worker, r *run, s platform.StartRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.quiet {
		w.recordLocked("worker %d: start %s run %d checkpoint %q token %d", x.number, r.task, r.number, r.checkpoint, s.Token)
	}
	for _, o := range w.workers {
		if o != x && o.runs[r.task] {
			w.recordLocked("TWICE: %s runs on worker %d, too", r.task, o.number)
			w.twice++
		}
	}
	x.runs[r.task] = true
	w.starts = append(w.starts, startRecord{time.Now(), x.number, r.task, r.number, r.gang, r.checkpoint})
	if r.gang == "" {
		return
	}
	g := w.gangs[r.gang]
	if g == nil {
		count, err := strconv.Atoi(r.gang[strings.LastIndex(r.gang, " ")+1:])
		if err != nil {
			count = 1
		}
		g = &gangState{members: map[string]string{}, count: count}
		w.gangs[r.gang] = g
	}
	g.members[r.task] = r.checkpoint
	same := map[string]bool{}
	for _, c := range g.members {
		same[c] = true
	}
	if len(g.members) < g.count || g.broken {
		return
	}
	if len(same) > 1 {
		w.recordLocked("gang %s: its members carry %d different checkpoints: %v", r.gang, len(same), g.members)
		return
	}
	g.began = time.Now()
	w.recordLocked("gang %s: all members are present and begin to work", r.gang)
}

// forgetRuns records that nothing runs on x any more.
func (w *world) forgetRuns(x *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(x.runs)
}

func (w *world) recordEnd(x *worker, r *run, how job.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.quiet {
		w.recordLocked("worker %d: end %s run %d: %s, saved %q", x.number, r.task, r.number, how, r.saved)
	}
	delete(x.runs, r.task)
	w.ends = append(w.ends, endRecord{time.Now(), r.task, r.number, how})
}

// gangBegan returns when the members of a gang began to work, or zero.
func (w *world) gangBegan(gang string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g := w.gangs[gang]; g != nil {
		return g.began
	}
	return time.Time{}
}

func (w *world) isBroken(gang string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gang]
	return g != nil && g.broken
}

// breakGang ends the work of a gang whose member has ended on x. Members that still wait for
// the others are not broken: they end alone.
func (w *world) breakGang(gang string, _ *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g := w.gangs[gang]; g != nil && !g.began.IsZero() {
		g.broken = true
	}
}

// workOf returns how long a task takes.
func (w *world) workOf(task string) time.Duration {
	id, _, _ := strings.Cut(task, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.work[id]
}

func (w *world) ip(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(100 + w.network/250), byte(1 + w.network%250), byte(n)})
}

func (w *world) serve(a netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	go func() { <-w.ctx.Done(); s.Close() }()
	return nil
}

// newWorld starts the given numbers of schedulers and workers with their agents, and waits until
// they serve clients.
func newWorld(dir, program string, schedulers, workers int, change func(*world)) (*world, error) {
	ctx, cancel := context.WithCancel(context.Background())
	tmp, err := os.MkdirTemp("", "review3")
	if err != nil {
		cancel()
		return nil, err
	}
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		cancel()
		return nil, err
	}
	w := &world{ctx: ctx, cancel: cancel, began: time.Now(), dir: tmp, program: program, network: os.Getpid() * 331 % 25000, store: fleet.NewStore(), out: out,
		work: map[string]time.Duration{}, gangs: map[string]*gangState{}, accepted: map[string]time.Time{}}
	w.handler = platformtest.StoreHandler(w.store)
	if change != nil {
		change(w)
	}
	for ; ; w.network++ {
		if l, err := net.Listen("tcp", netip.AddrPortFrom(w.ip(1), storePort).String()); err == nil {
			l.Close()
			break
		}
	}
	if err := w.serve(netip.AddrPortFrom(w.ip(1), storePort), w.handler); err != nil {
		return w, err
	}
	if w.partition != nil {
		for i := range schedulers {
			l, err := net.Listen("tcp", netip.AddrPortFrom(w.ip(11+i+proxyOffset), peerPort).String())
			if err != nil {
				return w, err
			}
			go w.partition.serve(l, netip.AddrPortFrom(w.ip(11+i), peerPort))
			go func() { <-w.ctx.Done(); l.Close() }()
		}
		if err := w.serve(netip.AddrPortFrom(w.ip(2), storePort), viaProxies(w, w.handler)); err != nil {
			return w, err
		}
	}
	w.store.Put(platform.ConfigurationKey, []byte(text("configuration")))
	var seeds []string
	for i := range min(schedulers, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(w.ip(11+i), controlPort)))
	}
	for i := range schedulers {
		p := &process{name: fmt.Sprintf("edge-%d", i), role: "scheduler", ip: w.ip(11 + i)}
		w.schedulers = append(w.schedulers, p)
		if err := w.writeSettings(p, seeds, ""); err != nil {
			return w, err
		}
	}
	for i := range workers {
		p := &process{name: fmt.Sprintf("side-%d", i), role: "agent", ip: w.ip(21 + i)}
		w.agents = append(w.agents, p)
		x := &worker{w: w, runs: map[string]bool{}, number: i, app: netip.AddrPortFrom(p.ip, appPort), agent: netip.AddrPortFrom(p.ip, controlPort)}
		w.workers = append(w.workers, x)
		agentSeeds := seeds
		if w.partition != nil && i == 0 {
			agentSeeds = nil
		}
		if err := w.writeSettings(p, agentSeeds, x.app.String()); err != nil {
			return w, err
		}
		if err := x.start(); err != nil {
			return w, err
		}
		go x.live(ctx)
	}
	for _, p := range append(w.schedulers[:len(w.schedulers):len(w.schedulers)], w.agents...) {
		if err := w.start(p); err != nil {
			return w, err
		}
	}
	return w, w.awaitReady()
}

// awaitReady waits until all schedulers are ready and a job has run on the workers.
func (w *world) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range w.schedulers {
			resp, err := http.Get("http://" + netip.AddrPortFrom(p.ip, readyPort).String() + platform.ReadinessPath)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.schedulers) {
			time.Sleep(3 * time.Second) // all workers have sent heartbeats
			return nil
		}
	}
	return fmt.Errorf("the schedulers are not ready")
}

func (w *world) writeSettings(p *process, seeds []string, app string) error {
	at := func(ip netip.Addr, port uint16) string { return netip.AddrPortFrom(ip, port).String() }
	class, serves, own := "edge", `"edge","control"`, ""
	listen := text("entry-listen", at(p.ip, frontPort), at(p.ip, readyPort), at(p.ip, controlPort))
	if p.role == "agent" {
		class, serves, own = "side", `"side"`, text("agent-settings", app)
		listen = text("agent-listen", at(p.ip, controlPort))
	}
	store := w.ip(1)
	if w.partition != nil && p.name == "side-0" {
		store = w.ip(2)
	}
	p.settings = filepath.Join(w.dir, p.name+".toml")
	settings := text("settings", p.name, p.role, class, serves, p.ip, peerPort, peerPort+15, strings.Join(seeds, ","), own, listen, at(store, storePort))
	return os.WriteFile(p.settings, []byte(settings+"\n"), 0o600)
}

// start starts the process with the command of the deploy file.
func (w *world) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(w.program, p.role)
	cmd.Env = append(os.Environ(), platform.SettingsPathEnv+"="+p.settings)
	if p.role == "scheduler" {
		cmd.Env = append(cmd.Env, "ROSEMARYGAP_FAIR_SHARES=zone", "ROSEMARYGAP_FAILOVER=connection")
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		log.Close()
		close(ended)
	}(p.ended)
	return nil
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, p := range append(w.schedulers[:len(w.schedulers):len(w.schedulers)], w.agents...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	w.cancel()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	w.out.Close()
}

// request sends a request of a client to a scheduler, and returns the status, or 0 without a
// response, and the body.
func (w *world) request(scheduler int, method, id string, body []byte, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	a := netip.AddrPortFrom(w.schedulers[scheduler].ip, frontPort)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+a.String()+"/jobs/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "jobs.example"
	r.Header.Set("Content-Type", "application/json")
	platformtest.SetTimeout(r.Header, 3*time.Second)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "no response"
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "no response"
	}
	return resp.StatusCode, strings.TrimSpace(string(b))
}

// submit submits a job until it is accepted. The body lacks the spec.
func (w *world) submit(scheduler int, id string, work time.Duration, gang string, phases string) bool {
	w.mu.Lock()
	w.work[id] = work
	w.mu.Unlock()
	body := text("submission", work.Milliseconds(), gang, phases)
	for range 4 {
		code, answer := w.request(scheduler, http.MethodPost, id, []byte(body), 3*time.Second)
		w.record("client: POST %s at edge-%d %s -> %d %s", id, scheduler, body, code, answer)
		if code/100 == 2 {
			w.mu.Lock()
			w.accepted[id] = time.Now()
			w.mu.Unlock()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (w *world) state(scheduler int, id string) string {
	code, answer := w.request(scheduler, http.MethodGet, id, nil, 3*time.Second)
	var m struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(answer), &m) == nil && m.State != "" {
		return m.State
	}
	return strconv.Itoa(code)
}
