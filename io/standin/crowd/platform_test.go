package crowd

import (
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
