package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html"
	"io"
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
	repoRoot      = "../../.."
	operatorToken = "walk-token"
	readyPrefix   = "ready operator="
	// operatorPortOffset is the difference between the first operator port and the
	// port of the store.
	operatorPortOffset = 20
	outageDuration     = 1500 * time.Millisecond
)

// walkthrough follows the steps of docs/OPERATING.md with the command line and a
// browser.
type walkthrough struct {
	t               *testing.T
	dir             string
	operatorAddress string
	browser         *http.Client
	// logPath is the path of the output of scripts/up.sh.
	logPath string
}

// startWalkthrough starts scripts/up.sh and waits for its ready line.
func startWalkthrough(t *testing.T) (*walkthrough, *exec.Cmd) {
	dir := t.TempDir()
	out, err := os.Create(filepath.Join(dir, "up.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	up := exec.Command("scripts/up.sh")
	port, err := addresses.takeBlock()
	if err != nil {
		t.Fatal(err)
	}
	up.Env = append(os.Environ(), "UP_DIR="+dir, "UP_PORT="+strconv.Itoa(port), "ROSEMARYGAP_OPERATOR_TOKEN="+operatorToken)
	up.Dir, up.Stdout, up.Stderr = repoRoot, out, out
	if err := up.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = up.Process.Signal(syscall.SIGTERM) })
	jar, _ := cookiejar.New(nil)
	w := &walkthrough{t: t, dir: dir, browser: &http.Client{Jar: jar}, logPath: out.Name()}
	for end := time.Now().Add(30 * time.Second); !strings.Contains(w.output(), readyPrefix); {
		if time.Now().After(end) {
			t.Fatalf("scripts/up.sh is not ready: %s", w.output())
		}
		time.Sleep(pollInterval)
	}
	_, w.operatorAddress, _ = strings.Cut(strings.TrimSpace(w.output()), readyPrefix)
	return w, up
}

func (w *walkthrough) output() string {
	b, _ := os.ReadFile(w.logPath)
	return string(b)
}

// run runs one command as documented in docs/OPERATING.md. It returns the exit code
// and the outputs.
func (w *walkthrough) run(args ...string) (code int, stdout, stderr string) {
	w.t.Helper()
	cmd := exec.Command("bin/rosemarygap", args...)
	cmd.Dir = repoRoot
	cmd.Env = append(os.Environ(), "ROSEMARYGAP_ENTRY="+w.operatorAddress, "ROSEMARYGAP_OPERATOR_TOKEN="+operatorToken)
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	began := time.Now()
	_ = cmd.Run()
	w.t.Logf("%v: exit %d after %v", args, cmd.ProcessState.ExitCode(), time.Since(began).Round(time.Millisecond))
	return cmd.ProcessState.ExitCode(), o.String(), e.String()
}

// mustRun runs a command, fails the test if the command fails, and returns its
// standard output.
func (w *walkthrough) mustRun(args ...string) string {
	w.t.Helper()
	code, out, stderr := w.run(args...)
	if code != process.ExitOK {
		w.t.Fatalf("%v: exit %d: %s%s", args, code, out, stderr)
	}
	return out
}

// followEvents starts a command that follows the events of accepted configurations
// at all entries. It returns a function that ends the command and returns its
// output.
func (w *walkthrough) followEvents() func() string {
	w.t.Helper()
	cmd := exec.Command("bin/rosemarygap", "events", "--all", "--follow", "--event", "5001", "--entry", w.operatorAddress)
	cmd.Dir = repoRoot
	var out bytes.Buffer
	cmd.Stdout = &out
	if err := cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	stop := sync.OnceFunc(func() {
		time.Sleep(time.Second) // twice the polling interval of the command
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	w.t.Cleanup(stop)
	return func() string {
		stop()
		return out.String()
	}
}

// config returns the configuration in force.
func (w *walkthrough) config() operator.AcceptedConfig {
	w.t.Helper()
	var shown struct {
		Config operator.AcceptedConfig `json:"config"`
	}
	if err := json.Unmarshal([]byte(w.mustRun("show", "--json")), &shown); err != nil {
		w.t.Fatal(err)
	}
	return shown.Config
}

// loadPage gets a page of the console, or posts form to it if form is not nil. It
// returns the status code and the page.
func (w *walkthrough) loadPage(path string, form url.Values) (int, string) {
	w.t.Helper()
	address := "http://" + w.operatorAddress + path
	var resp *http.Response
	var err error
	if form == nil {
		resp, err = w.browser.Get(address)
	} else {
		resp, err = w.browser.PostForm(address, form)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

var inputPattern = regexp.MustCompile(`name="([^"]+)"\s+(?:type="(?:text|checkbox)" )?value="([^"]*)"( checked)?`)

// formValues returns the form that a browser would submit for a page of the
// console.
func formValues(page string) url.Values {
	form := url.Values{}
	for _, m := range inputPattern.FindAllStringSubmatch(page, -1) {
		if !strings.Contains(m[0], "checkbox") || m[3] != "" {
			form.Set(m[1], html.UnescapeString(m[2]))
		}
	}
	form.Del("action")
	return form
}

// writeJSON writes v to the named file and returns the path of the file.
func (w *walkthrough) writeJSON(name string, v any) string {
	path := filepath.Join(w.dir, name)
	b, _ := json.Marshal(v)
	if err := os.WriteFile(path, b, 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// The steps of docs/OPERATING.md must work as documented: start the deployment,
// change a quota in the console and on the command line, cause and read a conflict,
// apply a change in a store outage, drain a worker, and stop.
func TestWalkThroughOperatingPage(t *testing.T) {
	is := is.New(t)
	w, up := startWalkthrough(t)
	followed := w.followEvents()

	// Change a quota in the console, after the login.
	code, _ := w.loadPage("/login", url.Values{"token": {operatorToken}})
	is.Equal(code, http.StatusOK)
	_, page := w.loadPage("/config", nil)
	form := formValues(page)
	form.Set("teams[0].quota.memory-mib", "400000")
	form.Set("action", "apply")
	code, page = w.loadPage("/config", form)
	is.Equal(code, http.StatusOK)
	is.True(strings.Contains(page, "config-accepted"))
	first := w.config()
	is.Equal(first.Document.Teams[0].Quota.Memory, int64(400000))

	// Change the quota on the command line.
	var edited operator.Document
	is.NoErr(json.Unmarshal([]byte(w.mustRun("show", "--document")), &edited))
	edited.Teams[0].Quota.Memory = 300000
	file := w.writeJSON("config.json", edited)
	w.mustRun("check", file)
	w.mustRun("apply", file, "--revision", fmt.Sprint(first.Revision), "--wait")
	is.Equal(w.config().Document.Teams[0].Quota.Memory, int64(300000))

	// Cause a conflict with a second edit of the same revision.
	edited.Teams[0].Quota.Memory = 200000
	file = w.writeJSON("config.json", edited)
	code, out, stderr := w.run("apply", file, "--revision", fmt.Sprint(first.Revision))
	is.Equal(code, process.ExitConflict)
	is.True(strings.Contains(stderr, "code=config-conflict"))
	var conflict struct {
		Edited      int64                   `json:"edited-revision"`
		Current     operator.AcceptedConfig `json:"current"`
		Differences []operator.Difference   `json:"differences"`
	}
	is.NoErr(json.Unmarshal([]byte(out), &conflict))
	is.Equal(conflict.Edited, first.Revision)
	is.Equal(conflict.Current.Revision, first.Revision+1)
	is.Equal(conflict.Differences, []operator.Difference{
		{Path: "teams[press].quota.memory-mib", Current: "300000", Edited: "200000"}})

	w.applyDuringOutage(is, file)
	w.drainWorker(is)
	w.evacuateZone(is)

	// The command that follows the events must have printed all of these changes.
	is.True(strings.Count(followed(), " config-accepted ") >= 5)

	// Stop the deployment as Ctrl-C does.
	is.NoErr(up.Process.Signal(syscall.SIGINT))
	is.NoErr(up.Wait())
	is.True(strings.HasSuffix(w.output(), "stopped\n"))
}

// applyDuringOutage applies a document while the store is down for outageDuration.
// The command must retry with the same change id, and the change must take effect
// once.
func (w *walkthrough) applyDuringOutage(is *is.I, file string) {
	w.t.Helper()
	before := w.config().Revision
	w.setStoreFaults(`{"down":true}`)
	restore := time.AfterFunc(outageDuration, func() { w.setStoreFaults(`{"down":false}`) })
	defer restore.Stop()
	code, _, stderr := w.run("apply", file, "--change-id", "in-outage")
	is.Equal(code, process.ExitOK) // apply during an outage
	is.True(strings.Contains(stderr, "progress code=store-unavailable change-id=in-outage"))
	w.mustRun("apply", file, "--change-id", "in-outage", "--revision", fmt.Sprint(before))
	is.Equal(w.config().Revision, before+1)
}

// setStoreFaults sets the faults that the fake of the store injects.
func (w *walkthrough) setStoreFaults(faults string) {
	address, err := netip.ParseAddrPort(w.operatorAddress)
	if err == nil {
		store := netip.AddrPortFrom(address.Addr(), address.Port()-operatorPortOffset)
		cmd := exec.Command("bin/rosemarygap-standin", "fault", "--at", store.String(), faults)
		cmd.Dir = repoRoot
		err = cmd.Run()
	}
	if err != nil {
		w.t.Errorf("cannot set faults of the store: %v", err)
	}
}

// drainWorker submits a job, drains the worker on which the job runs, and waits
// until nothing runs there. The job must finish nevertheless.
func (w *walkthrough) drainWorker(is *is.I) {
	w.t.Helper()
	w.mustRun("submit", "examples/job.json")
	row := worker.JobRow{}
	for end := time.Now().Add(10 * time.Second); row.State != worker.Running && time.Now().Before(end); time.Sleep(pollInterval) {
		var rows []worker.JobRow
		is.NoErr(json.Unmarshal([]byte(w.mustRun("jobs", "--json")), &rows))
		is.Equal(len(rows), 1)
		row = rows[0]
	}
	is.Equal(row.State, worker.Running)
	code, out, stderr := w.run("drain", row.Worker, "--wait", "--wait-limit", "20s")
	is.Equal(code, process.ExitOK) // drain
	is.True(strings.Contains(stderr, "progress worker="+row.Worker+" running-jobs=0"))
	var accepted operator.AcceptedConfig
	is.NoErr(json.Unmarshal([]byte(out), &accepted))
	is.Equal(accepted.Document.Draining, []string{row.Worker})
	w.mustRun("submit", "examples/job.json", "--wait", "--wait-limit", "20s")
	events := w.mustRun("events", "--all", "--job", row.ID)
	is.True(strings.Contains(events, "job-accepted") && strings.Contains(events, "task-finished"))
}

// evacuateZone evacuates a zone, waits until nothing runs there, and ends the evacuation.
// A zone without workers must be refused.
func (w *walkthrough) evacuateZone(is *is.I) {
	w.t.Helper()
	code, _, stderr := w.run("evacuate", "nowhere")
	is.Equal(code, process.ExitRefused)
	is.True(strings.HasPrefix(stderr, `code=unknown-reference path="zone" value="nowhere"`))
	code, out, stderr := w.run("evacuate", "kelowna", "--wait", "--wait-limit", "20s")
	is.Equal(code, process.ExitOK)
	is.True(strings.Contains(stderr, "progress zone=kelowna workers="))
	var accepted operator.AcceptedConfig
	is.NoErr(json.Unmarshal([]byte(out), &accepted))
	is.True(len(accepted.Document.Draining) > 1)
	accepted = operator.AcceptedConfig{}
	is.NoErr(json.Unmarshal([]byte(w.mustRun("evacuate", "kelowna", "--undo")), &accepted))
	is.True(len(accepted.Document.Draining) <= 1) // the worker of drainWorker may be in another zone
}
