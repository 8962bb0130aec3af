package crowd

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"
)

// Ports of the simulated VMs. Each VM has its own loopback address.
const (
	callerPort  = 21080
	readyPort   = 21081
	controlPort = 21082
	storePort   = 21083
	workerPort  = 21084
	peerPort    = 21090
	metricsPort = 9464
)

const (
	callerHost    = "jobs.example"
	maxJobBytes   = 256 << 10
	maxWorkLease  = 10 * time.Second
	stopGrace     = 6 * time.Second
	minLeaseTTL   = time.Second
	processorPart = 0.5
	// storeDelay is the delay of a slow store.
	storeDelay = 300 * time.Millisecond
)

// networks is the number of loopback networks of this execution.
var networks atomic.Int64

// vmAddress returns an address on VM n of the given network. The VMs of the tests of other
// packages have lower numbers.
func vmAddress(network int64, n, port int) netip.AddrPort {
	i := (network + int64(os.Getpid())) % 62000
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i / 250), byte(1 + i%250), byte(100 + n)}), uint16(port))
}

// serve serves h at a until the end of the test.
func serve(t *testing.T, a netip.AddrPort, h http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close(); <-done })
}

// schedulerLimits are the limits of a scheduler with the given descriptors.
func schedulerLimits(l limits) limits {
	if *memoryMiB > 0 {
		l.memoryMiB = *memoryMiB
	}
	if *descriptors > 0 {
		l.descriptors = *descriptors
	}
	return l
}

// scheduler is a scheduler process on fakes of the platform.
type scheduler struct {
	*subject
	network int64
	store   *fleet.Store
}

func (s *scheduler) address(port int) netip.AddrPort { return vmAddress(s.network, 11, port) }

// startScheduler starts a scheduler and waits until it is ready. The connections at
// watchedPort are watched.
func startScheduler(t *testing.T, l limits, watchedPort int) *scheduler {
	t.Helper()
	l.reservesFiles = true
	l = schedulerLimits(l)
	s := &scheduler{network: networks.Add(1), store: fleet.NewStore()}
	putConfiguration(t, s.store)
	storeAddress := vmAddress(s.network, 1, storePort)
	serve(t, storeAddress, platformtest.StoreHandler(s.store))
	s.subject = startOnPlatform(t, l, s.address(watchedPort), "scheduler", platform.Settings{Name: "scheduler-0",
		CallerListen: s.address(callerPort), ReadinessListen: s.address(readyPort), ControlListen: s.address(controlPort),
		Seeds: []netip.AddrPort{s.address(controlPort)}, StoreAddress: storeAddress})
	await(t, s.subject, func() bool {
		return expect(t, s.address(readyPort), callerHost, http.MethodGet, platform.ReadinessPath, nil, http.StatusOK) == nil
	})
	return s
}

// startOnPlatform starts a process with a settings file.
func startOnPlatform(t *testing.T, l limits, watched netip.AddrPort, role string, s platform.Settings) *subject {
	t.Helper()
	s.Zone, s.IP, s.PeerPort, s.MemoryLimitMiB, s.CPUShare = "z", watched.Addr(), peerPort, int64(l.memoryMiB), processorPart
	s.MinLeaseTTL, s.Bounds.MaxWorkerLease, s.Bounds.StopGrace = minLeaseTTL, maxWorkLease, stopGrace
	path := filepath.Join(t.TempDir(), role+".toml")
	text := platformtest.WithDescriptorLimit(platformtest.EncodeSettings(s), l.descriptors)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return startProcess(t, l, watched, []string{platform.SettingsPathEnv + "=" + path}, role)
}

// await waits until ready returns true.
func await(t *testing.T, s *subject, ready func() bool) {
	t.Helper()
	for end := time.Now().Add(startTimeout); ; time.Sleep(pollInterval) {
		if ready() {
			return
		}
		if !s.alive() || time.Now().After(end) {
			t.Fatalf("the process is not ready: %s", s.logTail())
		}
	}
}

func putConfiguration(t *testing.T, store *fleet.Store) {
	t.Helper()
	b, err := platformtest.EncodeConfiguration(job.Configuration{Version: 1, Queues: []job.Queue{{Name: "jobs", Host: callerHost,
		Prefix: "/jobs/", Service: "svc", MaxFailures: 3, Stretch: 2, Target: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	store.Put(platform.ConfigurationKey, b)
}

// encodeJob returns the body of a submission of a small job.
func encodeJob(t *testing.T) []byte {
	t.Helper()
	b, err := platformtest.EncodeJob(job.Job{Payload: "ms=50", Steps: []job.Step{{Tasks: 1, Need: job.Resources{Processors: 100, Memory: 10}}}})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func jobPath(n int) string { return fmt.Sprintf("/jobs/%016x", 0xc000+n) }

// frontListener returns the listener of a scheduler for client accounts.
func frontListener(t *testing.T, s *scheduler) *listener {
	a := s.address(callerPort)
	small := encodeJob(t)
	return &listener{address: a, host: callerHost, method: http.MethodPost, path: jobPath,
		body: platformtest.Pad(small, maxJobBytes), query: "/jobs/",
		ordinary: func(n int) error {
			if err := expect(t, a, callerHost, http.MethodPost, jobPath(n), small, http.StatusOK); err != nil {
				return err
			}
			return expect(t, a, callerHost, http.MethodGet, jobPath(n), nil, http.StatusOK)
		},
		stored: func(n int) (bool, error) {
			code, _, err := call(t, a, callerHost, http.MethodGet, jobPath(n), nil)
			if err == nil && code != http.StatusOK && code != http.StatusGone {
				err = fmt.Errorf("status %d", code)
			}
			return code == http.StatusOK, err
		}}
}

// Limits and crowds at the listener for client accounts.
var (
	frontMemory      = limits{memoryMiB: 96, descriptors: 4100}
	frontDescriptors = limits{memoryMiB: 96, descriptors: 400}
)

const (
	frontCrowd = 600
	// chunkCrowd is smaller, because tiny chunks are a multiple of their content.
	chunkCrowd = 300
	// decodingCrowd is smaller, because the memory of one body is a multiple of its size.
	decodingCrowd = 24
)

// checkFront checks a crowd at the listener for client accounts.
func checkFront(t *testing.T, l limits, n int, act func(*client) error) {
	t.Helper()
	s := startScheduler(t, l, callerPort)
	checkCrowd(t, s.subject, frontListener(t, s), n, act)
}

// Headers that never end must not use up the memory.
func TestFrontHeaderNeverFinished(t *testing.T) {
	checkFront(t, frontMemory, frontCrowd, headerNeverFinished)
}

// Headers beyond the limit must not use up the memory.
func TestFrontLargeHeaders(t *testing.T) { checkFront(t, frontMemory, frontCrowd, largeHeaders) }

// Bodies in large chunks that stop short of their end must not use up the memory.
func TestFrontLargeChunks(t *testing.T) { checkFront(t, frontMemory, frontCrowd, largeChunks) }

// Bodies in chunks of one byte that stop short of their end must not use up the memory.
func TestFrontTinyChunks(t *testing.T) { checkFront(t, frontMemory, chunkCrowd, tinyChunks) }

// Bodies of the largest size that stop short of their end must not use up the memory.
func TestFrontWholeBody(t *testing.T) { checkFront(t, frontMemory, frontCrowd, wholeBody) }

// Bodies that come piece by piece and stop short of their end must not use up the memory.
func TestFrontBodyInPieces(t *testing.T) { checkFront(t, frontMemory, frontCrowd, bodyInPieces) }

// Trailers that never end must not use up the memory.
func TestFrontTrailersNeverFinished(t *testing.T) {
	checkFront(t, frontMemory, frontCrowd, trailersNeverFinished)
}

// Large trailers must not use up the memory.
func TestFrontLargeTrailers(t *testing.T) { checkFront(t, frontMemory, frontCrowd, largeTrailers) }

// Decoding many bodies of tiny elements at once must not use up the memory.
func TestFrontTinyElements(t *testing.T) {
	s := startScheduler(t, frontMemory, callerPort)
	l := frontListener(t, s)
	body := platformtest.EncodeEmptySteps(maxJobBytes)
	checkCrowd(t, s.subject, l, decodingCrowd, func(c *client) error {
		c.read()
		return c.sendAtOnce(append(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body...))
	})
}

// Submissions that wait for a slow store must not use up the memory.
func TestFrontHeldAnswers(t *testing.T) {
	s := startScheduler(t, frontMemory, callerPort)
	l := frontListener(t, s)
	s.store.SetFaults(fleet.StoreFaults{Delay: storeDelay})
	ordinary := l.ordinary
	l.ordinary = func(n int) error {
		defer s.store.SetFaults(fleet.StoreFaults{})
		return ordinary(n)
	}
	checkCrowd(t, s.subject, l, frontCrowd, func(c *client) error {
		c.read()
		return c.sendAtOnce(c.largest())
	})
}

// Responses that nobody reads must not use up the memory.
func TestFrontPipelinedUnread(t *testing.T) {
	checkFront(t, frontMemory, frontCrowd, pipelinedUnread)
}

// Connections that are idle after a request must not use up the descriptors.
func TestFrontIdleAfterRequest(t *testing.T) {
	checkFront(t, frontDescriptors, frontCrowd, idleAfterRequest)
}

// Connections that send nothing must not use up the descriptors.
func TestFrontSilent(t *testing.T) { checkFront(t, frontDescriptors, frontCrowd, silent) }

// Connections beyond the descriptors must not end the process.
func TestFrontManyConnections(t *testing.T) {
	checkFront(t, frontDescriptors, 2*frontCrowd, firstByteOnly)
}
