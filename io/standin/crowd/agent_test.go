package crowd

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"
)

// maxHeartbeatBytes is the size of the largest heartbeat.
const maxHeartbeatBytes = 64 << 10

// Limits of an agent.
var (
	agentMemory      = limits{memoryMiB: 64, descriptors: 4096}
	agentDescriptors = limits{memoryMiB: 64, descriptors: 400}
)

// heartbeatCrowd is larger than other crowds, because heartbeats are small.
const heartbeatCrowd = 900

// startAgent starts an agent without a scheduler and waits until it takes heartbeats.
func startAgent(t *testing.T, l limits, watchedPort int) (*subject, func(port int) netip.AddrPort) {
	t.Helper()
	l.reservesFiles = true
	l = schedulerLimits(l)
	network := networks.Add(1)
	address := func(port int) netip.AddrPort { return vmAddress(network, 21, port) }
	storeAddress := vmAddress(network, 1, storePort)
	serve(t, storeAddress, platformtest.StoreHandler(fleet.NewStore()))
	s := startOnPlatform(t, l, address(watchedPort), "agent", platform.Settings{Name: "agent-0", Service: "svc",
		ControlListen: address(controlPort), WorkerAddress: address(workerPort), StoreAddress: storeAddress,
		Seeds: []netip.AddrPort{vmAddress(network, 11, controlPort)}})
	beat := heartbeatListener(t, address(controlPort), address(workerPort))
	await(t, s, func() bool { return beat.ordinary(0) == nil })
	return s, address
}

// heartbeatListener returns the listener of an agent for the worker at the given address.
func heartbeatListener(t *testing.T, a, worker netip.AddrPort) *listener {
	t.Helper()
	small, err := platformtest.EncodeHeartbeat(job.Worker{ID: "i-0", Incarnation: time.Now().UnixMilli(), Service: "svc",
		Address: worker, Zone: "z", Labels: []string{"a", "r1"}, Capacity: job.Resources{Processors: 4000, Memory: 8000}, Sequence: 1})
	if err != nil {
		t.Fatal(err)
	}
	path := platformtest.HeartbeatPath("i-0")
	return &listener{address: a, host: a.String(), method: http.MethodPut, path: func(int) string { return path },
		body: platformtest.Pad(small, maxHeartbeatBytes), query: path,
		ordinary: func(int) error { return expect(t, a, a.String(), http.MethodPut, path, small, http.StatusOK) }}
}

func checkAgent(t *testing.T, l limits, n int, act func(*client) error) {
	t.Helper()
	s, address := startAgent(t, l, controlPort)
	checkCrowd(t, s, heartbeatListener(t, address(controlPort), address(workerPort)), n, act)
}

// Headers that never end must not use up the memory.
func TestAgentHeaderNeverFinished(t *testing.T) {
	checkAgent(t, agentMemory, frontCrowd, headerNeverFinished)
}

// Heartbeats of the largest size that stop short of their end must not use up the memory.
func TestAgentWholeBody(t *testing.T) { checkAgent(t, agentMemory, heartbeatCrowd, wholeBody) }

// Heartbeats in large chunks that stop short of their end must not use up the memory.
func TestAgentLargeChunks(t *testing.T) { checkAgent(t, agentMemory, heartbeatCrowd, largeChunks) }

// Connections that send nothing must not use up the descriptors.
func TestAgentSilent(t *testing.T) { checkAgent(t, agentDescriptors, frontCrowd, silent) }

func checkAgentMetrics(t *testing.T, l limits, n int, act func(*client) error) {
	t.Helper()
	s, address := startAgent(t, l, metricsPort)
	a := address(metricsPort)
	checkCrowd(t, s, &listener{address: a, host: a.String(), method: http.MethodGet, path: func(int) string { return "/metrics" },
		query:    "/metrics",
		ordinary: func(int) error { return expect(t, a, a.String(), http.MethodGet, "/metrics", nil, http.StatusOK) }}, n, act)
}

// Headers that never end must not use up the memory.
func TestAgentMetricsHeaderNeverFinished(t *testing.T) {
	checkAgentMetrics(t, agentMemory, frontCrowd, headerNeverFinished)
}

// Metrics that nobody reads must not use up the memory.
func TestAgentMetricsPipelinedUnread(t *testing.T) {
	checkAgentMetrics(t, agentMemory, frontCrowd, pipelinedUnread)
}
