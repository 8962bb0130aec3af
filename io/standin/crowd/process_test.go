package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

const (
	sampleInterval = 10 * time.Millisecond
	// fileDescriptors is how many descriptors of a process on the users' platform are
	// reserved for files.
	fileDescriptors = 200
)

// program is the path of the program under test.
var program string

// buildProgram builds the real program and returns its path and a function that removes it.
func buildProgram() (path string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "rosemarygap-crowd-")
	if err != nil {
		return "", nil, err
	}
	path = filepath.Join(dir, "rosemarygap")
	if b, err := exec.Command("go", "build", "-o", path, "rosemarygap/cmd/rosemarygap").CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		return "", nil, errors.Wrapf(err, "build: %s", b)
	}
	return path, func() { os.RemoveAll(dir) }, nil
}

// limits are the limits of a process in its settings.
type limits struct {
	memoryMiB, descriptors int
	// reservesFiles is true if fileDescriptors of the descriptors are not available to
	// sockets and pipes.
	reservesFiles bool
}

// usage is what a process uses of its limits.
type usage struct {
	// descriptors are all descriptors, channels the sockets and pipes among them.
	descriptors, channels int
	// unread is the number of bytes that the kernel has received for the process and that
	// it has not read.
	unread int
}

// subject is the process under test.
type subject struct {
	t       *testing.T
	limits  limits
	log     string
	cmd     *exec.Cmd
	exited  chan struct{}
	sampled chan struct{}

	stopSampling  chan struct{}
	stopOnce      sync.Once
	peak, peakChn atomic.Int64
	peakUnread    atomic.Int64
}

// startProcess starts the program with the given arguments and variables. It is killed at
// the end of the test.
func startProcess(t *testing.T, l limits, watched netip.AddrPort, environment []string, args ...string) *subject {
	t.Helper()
	s := &subject{t: t, limits: l, log: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{}),
		sampled: make(chan struct{}), stopSampling: make(chan struct{})}
	f, err := os.Create(s.log)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s.cmd = exec.Command(program, args...)
	s.cmd.Env = append(os.Environ(), environment...)
	s.cmd.Stdout, s.cmd.Stderr = f, f
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(s.exited)
		_ = s.cmd.Wait()
	}()
	go s.sample(watched)
	t.Cleanup(s.kill)
	return s
}

func (s *subject) kill() {
	s.stopOnce.Do(func() { close(s.stopSampling) })
	<-s.sampled
	_ = s.cmd.Process.Signal(syscall.SIGKILL)
	<-s.exited
}

// alive reports whether the process has not exited.
func (s *subject) alive() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// sample records the peak usage until the process ends.
func (s *subject) sample(watched netip.AddrPort) {
	defer close(s.sampled)
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-s.exited:
			return
		case <-s.stopSampling:
			return
		}
		u := s.usage(watched, n%10 == 0)
		raise(&s.peak, u.descriptors)
		raise(&s.peakChn, u.channels)
		raise(&s.peakUnread, u.unread)
	}
}

func raise(peak *atomic.Int64, n int) {
	for {
		old := peak.Load()
		if int64(n) <= old || peak.CompareAndSwap(old, int64(n)) {
			return
		}
	}
}

// usage returns the descriptors of the process and, if withUnread is true, what it has not
// read of its connections at the address watched.
func (s *subject) usage(watched netip.AddrPort, withUnread bool) usage {
	var u usage
	dir := fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid)
	d, err := os.Open(dir)
	if err != nil {
		return u
	}
	defer d.Close()
	names, _ := d.Readdirnames(-1)
	u.descriptors = len(names)
	for _, name := range names {
		if to, err := os.Readlink(filepath.Join(dir, name)); err == nil && (strings.HasPrefix(to, "socket:") || strings.HasPrefix(to, "pipe:")) {
			u.channels++
		}
	}
	if withUnread {
		u.unread = unreadBytes(watched)
	}
	return u
}

// unreadBytes returns the number of bytes in the receive queues of the sockets with the
// given local address.
func unreadBytes(local netip.AddrPort) int {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	ip := local.Addr().As4()
	address := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], local.Port())
	const listening = "0A"
	sum := 0
	for sc := bufio.NewScanner(f); sc.Scan(); {
		columns := strings.Fields(sc.Text())
		if len(columns) < 5 || columns[1] != address || columns[3] == listening {
			continue
		}
		_, rx, _ := strings.Cut(columns[4], ":")
		n, _ := strconv.ParseInt(rx, 16, 64)
		sum += int(n)
	}
	return sum
}

// peakMemory returns VmHWM, the peak resident set of the process in bytes: its heap, stacks
// and runtime, and the pages of the binary that were touched. It does not contain what the
// kernel holds for the process, such as the buffers of sockets.
func (s *subject) peakMemory() (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			return n << 10, err
		}
	}
	return 0, errors.New("no VmHWM in the status of the process")
}

// checkAlive fails the test unless the process lives.
func (s *subject) checkAlive() {
	s.t.Helper()
	if !s.alive() {
		b, _ := os.ReadFile(s.log)
		s.t.Fatalf("the process has exited: %s", b[max(0, len(b)-4000):])
	}
}

// check fails the test unless the process lives and has stayed within its limits.
func (s *subject) check() {
	s.t.Helper()
	s.checkAlive()
	peak, err := s.peakMemory()
	if err != nil {
		s.t.Fatal(err)
	}
	u := s.usage(netip.AddrPort{}, false)
	raise(&s.peak, u.descriptors)
	raise(&s.peakChn, u.channels)
	s.t.Logf("peak memory %d MiB of %d, descriptors %d of %d (%d sockets and pipes), unread %d KiB",
		peak>>20, s.limits.memoryMiB, s.peak.Load(), s.limits.descriptors, s.peakChn.Load(), s.peakUnread.Load()>>10)
	if peak >= s.limits.memoryMiB<<20 {
		s.t.Errorf("peak memory %d MiB is not below the limit of %d MiB", peak>>20, s.limits.memoryMiB)
	}
	if n := s.peak.Load(); n >= int64(s.limits.descriptors) {
		s.t.Errorf("%d descriptors are not below the limit of %d", n, s.limits.descriptors)
	}
	if n := s.peakChn.Load(); s.limits.reservesFiles && n > int64(s.limits.descriptors-fileDescriptors) {
		s.t.Errorf("%d sockets and pipes exceed the limit of %d", n, s.limits.descriptors-fileDescriptors)
	}
}

// logTail returns the end of the log of the process.
func (s *subject) logTail() string {
	b, _ := os.ReadFile(s.log)
	lines := bytes.Split(b, []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-6):], []byte("\n")))
}
