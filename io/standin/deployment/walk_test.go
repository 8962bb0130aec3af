package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html"
	"io"
	"net"
	"net/http"
	"net/http/cookiejar"
	"net/netip"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosemarygap/core/operator"
	"rosemarygap/core/worker"
	"rosemarygap/io/process"

	"github.com/matryer/is"
)

const (
	root      = "../../.."
	walkToken = "walk-token"
	readyLine = "ready operator="
	// operatorOffset is from the store's port to the first operator port.
	operatorOffset = 20
	outage         = 1500 * time.Millisecond
	// Ranges of ports for scripts/up.sh, below those that the system gives.
	firstOfUp  = 22000
	portRanges = 60
	portsOfUp  = 80
)

// walk follows docs/OPERATING.md with a command line and a
// browser.
type walk struct {
	t        *testing.T
	dir      string
	operator string
	browser  *http.Client
	// log is the path of the output of scripts/up.sh.
	log string
}

// startWalk starts scripts/up.sh and waits for its ready line.
func startWalk(t *testing.T) (*walk, *exec.Cmd) {
	dir := t.TempDir()
	out, err := os.Create(filepath.Join(dir, "up.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	up := exec.Command("scripts/up.sh")
	port := freePorts(t)
	up.Env = append(os.Environ(), "UP_DIR="+dir, "UP_PORT="+strconv.Itoa(port), "ROSEMARYGAP_OPERATOR_TOKEN="+walkToken)
	up.Dir, up.Stdout, up.Stderr = root, out, out
	if err := up.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = up.Process.Signal(syscall.SIGTERM) })
	jar, _ := cookiejar.New(nil)
	w := &walk{t: t, dir: dir, browser: &http.Client{Jar: jar}, log: out.Name()}
	for end := time.Now().Add(30 * time.Second); !strings.Contains(w.output(), readyLine); {
		if time.Now().After(end) {
			t.Fatalf("not ready: %s", w.output())
		}
		time.Sleep(pollEvery)
	}
	_, w.operator, _ = strings.Cut(strings.TrimSpace(w.output()), readyLine)
	return w, up
}

// freePorts returns the first of a range of ports that nothing listens on.
func freePorts(t *testing.T) int {
	for i := range portRanges {
		first := firstOfUp + (os.Getpid()+i)%portRanges*portsOfUp
		free := true
		for p := first; p < first+portsOfUp && free; p++ {
			l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(p))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			return first
		}
	}
	t.Fatal("no free range of ports")
	return 0
}

func (w *walk) output() string {
	b, _ := os.ReadFile(w.log)
	return string(b)
}

// run runs one command of the program as the page gives it and returns its
// exit code and both outputs.
func (w *walk) run(args ...string) (code int, out, errs string) {
	w.t.Helper()
	c := exec.Command("bin/rosemarygap", args...)
	c.Dir = root
	c.Env = append(os.Environ(), "ROSEMARYGAP_ENTRY="+w.operator, "ROSEMARYGAP_OPERATOR_TOKEN="+walkToken)
	var o, e bytes.Buffer
	c.Stdout, c.Stderr = &o, &e
	began := time.Now()
	_ = c.Run()
	w.t.Logf("%v: exit %d after %v", args, c.ProcessState.ExitCode(), time.Since(began).Round(time.Millisecond))
	return c.ProcessState.ExitCode(), o.String(), e.String()
}

// must is run for a command that has to succeed.
func (w *walk) must(args ...string) string {
	w.t.Helper()
	code, out, errs := w.run(args...)
	if code != process.ExitOK {
		w.t.Fatalf("%v: exit %d: %s%s", args, code, out, errs)
	}
	return out
}

// follow starts a command that follows accepted changes at all entries. It
// returns a function that ends the command and returns its output.
func (w *walk) follow() func() string {
	w.t.Helper()
	c := exec.Command("bin/rosemarygap", "events", "--all", "--follow", "--event", "5001", "--entry", w.operator)
	c.Dir = root
	var out bytes.Buffer
	c.Stdout = &out
	if err := c.Start(); err != nil {
		w.t.Fatal(err)
	}
	end := sync.OnceFunc(func() {
		time.Sleep(time.Second) // the period of following, twice
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	w.t.Cleanup(end)
	return func() string {
		end()
		return out.String()
	}
}

// config returns the configuration in force.
func (w *walk) config() operator.AcceptedConfig {
	w.t.Helper()
	var shown struct {
		Config operator.AcceptedConfig `json:"config"`
	}
	if err := json.Unmarshal([]byte(w.must("show", "--json")), &shown); err != nil {
		w.t.Fatal(err)
	}
	return shown.Config
}

// page gets or sends a page of the console.
func (w *walk) page(path string, form url.Values) (int, string) {
	w.t.Helper()
	at := "http://" + w.operator + path
	var answer *http.Response
	var err error
	if form == nil {
		answer, err = w.browser.Get(at)
	} else {
		answer, err = w.browser.PostForm(at, form)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	defer answer.Body.Close()
	b, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(b)
}

var inputForm = regexp.MustCompile(`name="([^"]+)"\s+(?:type="(?:text|checkbox)" )?value="([^"]*)"( checked)?`)

// fields returns what a browser would send for a page of the console.
func fields(page string) url.Values {
	form := url.Values{}
	for _, m := range inputForm.FindAllStringSubmatch(page, -1) {
		if !strings.Contains(m[0], "checkbox") || m[3] != "" {
			form.Set(m[1], html.UnescapeString(m[2]))
		}
	}
	form.Del("action")
	return form
}

func (w *walk) write(name string, v any) string {
	path := filepath.Join(w.dir, name)
	b, _ := json.Marshal(v)
	if err := os.WriteFile(path, b, 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// The walk of docs/OPERATING.md: start, change a quota in the console and by
// the command line, provoke and read a conflict, drain a worker, stop.
func TestWalkThroughOperatingPage(t *testing.T) {
	is := is.New(t)
	w, up := startWalk(t)
	followed := w.follow()

	// Change a quota in the console, after the login.
	code, _ := w.page("/login", url.Values{"token": {walkToken}})
	is.Equal(code, http.StatusOK)
	_, page := w.page("/config", nil)
	form := fields(page)
	form.Set("teams[0].quota.memory-mib", "400000")
	form.Set("action", "apply")
	code, page = w.page("/config", form)
	is.Equal(code, http.StatusOK)
	is.True(strings.Contains(page, "config-accepted"))
	first := w.config()
	is.Equal(first.Document.Teams[0].Quota.Memory, int64(400000))

	// Change it by the command line.
	var edited operator.Document
	is.NoErr(json.Unmarshal([]byte(w.must("show", "--document")), &edited))
	edited.Teams[0].Quota.Memory = 300000
	file := w.write("config.json", edited)
	w.must("check", file)
	w.must("apply", file, "--revision", fmt.Sprint(first.Revision), "--wait")
	is.Equal(w.config().Document.Teams[0].Quota.Memory, int64(300000))

	// Provoke a conflict: the same revision is edited once more.
	edited.Teams[0].Quota.Memory = 200000
	file = w.write("config.json", edited)
	code, out, errs := w.run("apply", file, "--revision", fmt.Sprint(first.Revision))
	is.Equal(code, process.ExitConflict)
	is.True(strings.Contains(errs, "code=config-conflict"))
	var refusal struct {
		Edited      int64                   `json:"edited-revision"`
		Current     operator.AcceptedConfig `json:"current"`
		Differences []operator.Difference   `json:"differences"`
	}
	is.NoErr(json.Unmarshal([]byte(out), &refusal))
	is.Equal(refusal.Edited, first.Revision)
	is.Equal(refusal.Current.Revision, first.Revision+1)
	is.Equal(refusal.Differences, []operator.Difference{
		{Path: "teams[press].quota.memory-mib", Current: "300000", Edited: "200000"}})

	w.applyInOutage(is, file)
	w.drainWorker(is)

	// The command that followed the events has seen all of these changes.
	is.True(strings.Count(followed(), " config-accepted ") >= 5)

	// Ctrl-C.
	is.NoErr(up.Process.Signal(syscall.SIGINT))
	is.NoErr(up.Wait())
	is.True(strings.HasSuffix(w.output(), "stopped\n"))
}

// applyInOutage applies a document while the store is down for a while: the
// command asks again with the same change id, and the change takes effect once.
func (w *walk) applyInOutage(is *is.I, file string) {
	w.t.Helper()
	before := w.config().Revision
	w.fault(`{"down":true}`)
	back := time.AfterFunc(outage, func() { w.fault(`{"down":false}`) })
	defer back.Stop()
	code, _, errs := w.run("apply", file, "--change-id", "in-outage")
	is.Equal(code, process.ExitOK) // apply in an outage
	is.True(strings.Contains(errs, "progress code=store-unavailable change-id=in-outage"))
	w.must("apply", file, "--change-id", "in-outage", "--revision", fmt.Sprint(before))
	is.Equal(w.config().Revision, before+1)
}

// fault sets the switches of the store's stand-in.
func (w *walk) fault(switches string) {
	at, err := netip.ParseAddrPort(w.operator)
	if err == nil {
		store := netip.AddrPortFrom(at.Addr(), at.Port()-operatorOffset)
		c := exec.Command("bin/rosemarygap-standin", "fault", "--at", store.String(), switches)
		c.Dir = root
		err = c.Run()
	}
	if err != nil {
		w.t.Errorf("fault: %v", err)
	}
}

// drainWorker submits a job, drains the worker on which it runs, and waits
// until nothing runs there; the job finishes all the same.
func (w *walk) drainWorker(is *is.I) {
	w.t.Helper()
	w.must("submit", "examples/job.json")
	row := worker.JobRow{}
	for end := time.Now().Add(10 * time.Second); row.State != worker.Running && time.Now().Before(end); time.Sleep(pollEvery) {
		var rows []worker.JobRow
		is.NoErr(json.Unmarshal([]byte(w.must("jobs", "--json")), &rows))
		is.Equal(len(rows), 1)
		row = rows[0]
	}
	is.Equal(row.State, worker.Running)
	code, out, errs := w.run("drain", row.Worker, "--wait", "--wait-limit", "20s")
	is.Equal(code, process.ExitOK) // drain
	is.True(strings.Contains(errs, "progress worker="+row.Worker+" running-jobs=0"))
	var done operator.AcceptedConfig
	is.NoErr(json.Unmarshal([]byte(out), &done))
	is.Equal(done.Document.Draining, []string{row.Worker})
	w.must("submit", "examples/job.json", "--wait", "--wait-limit", "20s")
	events := w.must("events", "--all", "--job", row.ID)
	is.True(strings.Contains(events, "job-accepted") && strings.Contains(events, "task-finished"))
}
