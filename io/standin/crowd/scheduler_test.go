package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"rosemarygap/core/wire"
	"rosemarygap/io/agent"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"
)

// Paths of the requests of schedulers to each other. The owner holds the answer at
// processPath for up to 20 s.
const (
	relayPath   = "/v1/entries/relay"
	processPath = "/v1/entries/process"
)

// Crowds at listeners whose requests are up to wire.MaxControlBody long.
const (
	controlCrowd = 150
	reportCrowd  = 12
)

// getListener returns a listener that takes only requests without a body for path, which
// it answers with status 200.
func getListener(t *testing.T, s *scheduler, port int, path string) *listener {
	a := s.address(port)
	return &listener{address: a, host: a.String(), method: http.MethodGet, path: func(int) string { return path }, query: path,
		ordinary: func(int) error { return expect(t, a, a.String(), http.MethodGet, path, nil, http.StatusOK) }}
}

// peerListener returns the listener of a scheduler for agents and other schedulers at port.
func peerListener(t *testing.T, s *scheduler, port int) *listener {
	a := s.address(port)
	small := []byte(`{"state":"000000000000c000","timeout-ns":1000000000}`)
	return &listener{address: a, host: a.String(), method: http.MethodPost, path: func(int) string { return relayPath },
		body: platformtest.Pad(small, wire.MaxControlBody), query: agent.OwnerPath,
		ordinary: func(int) error {
			return expect(t, a, a.String(), http.MethodPost, relayPath, small, http.StatusOK)
		}}
}

func checkReadiness(t *testing.T, l limits, n int, act func(*client) error) {
	t.Helper()
	s := startScheduler(t, l, readyPort)
	checkCrowd(t, s.subject, getListener(t, s, readyPort, platform.ReadinessPath), n, act)
}

// Headers that never end must not use up the memory.
func TestReadinessHeaderNeverFinished(t *testing.T) {
	checkReadiness(t, frontMemory, frontCrowd, headerNeverFinished)
}

// Connections that send nothing must not use up the descriptors.
func TestReadinessSilent(t *testing.T) { checkReadiness(t, frontDescriptors, frontCrowd, silent) }

func checkPeer(t *testing.T, port int, l limits, n int, act func(*client) error) {
	t.Helper()
	s := startScheduler(t, l, port)
	checkCrowd(t, s.subject, peerListener(t, s, port), n, act)
}

// Bodies of the largest size that stop short of their end must not use up the memory.
func TestControlWholeBody(t *testing.T) {
	checkPeer(t, controlPort, frontMemory, controlCrowd, wholeBody)
}

// Connections that send nothing must not use up the descriptors.
func TestControlSilent(t *testing.T) {
	checkPeer(t, controlPort, frontDescriptors, frontCrowd, silent)
}

// Headers that never end must not use up the memory.
func TestPeerHeaderNeverFinished(t *testing.T) {
	checkPeer(t, peerPort, frontMemory, frontCrowd, headerNeverFinished)
}

// Bodies in large chunks that stop short of their end must not use up the memory.
func TestPeerLargeChunks(t *testing.T) {
	checkPeer(t, peerPort, frontMemory, controlCrowd, largeChunks)
}

// Bodies that come piece by piece and stop short of their end must not use up the memory.
func TestPeerBodyInPieces(t *testing.T) {
	checkPeer(t, peerPort, frontMemory, controlCrowd, bodyInPieces)
}

// Decoding many reports of tiny elements at once must not use up the memory.
func TestPeerTinyElements(t *testing.T) {
	s := startScheduler(t, frontMemory, peerPort)
	l := peerListener(t, s, peerPort)
	const begin, run, end = `{"agent":"agent-0","process":1,"epoch":0,"running":[{}`, `,{}`, `]}`
	body := append([]byte(begin), bytes.Repeat([]byte(run), (wire.MaxControlBody-len(begin)-len(end))/len(run))...)
	body = append(body, end...)
	checkCrowd(t, s.subject, l, reportCrowd, func(c *client) error {
		c.read()
		head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", agent.ReportPath, l.host, len(body))
		return c.sendAtOnce(append(head, body...))
	})
}

// Requests whose answers are held must not use up the descriptors.
func TestPeerHeldAnswers(t *testing.T) {
	s := startScheduler(t, frontDescriptors, peerPort)
	l := peerListener(t, s, peerPort)
	await(t, s.subject, func() bool {
		return expect(t, l.address, l.host, http.MethodGet, agent.OwnerPath, nil, http.StatusOK) == nil
	})
	_, b, err := call(t, l.address, l.host, http.MethodGet, processPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	var answer struct {
		Process int64 `json:"process"`
	}
	if err := json.Unmarshal(b, &answer); err != nil {
		t.Fatal(err)
	}
	checkCrowd(t, s.subject, l, frontCrowd, func(c *client) error {
		c.read()
		return c.send(fmt.Appendf(nil, "GET %s?process=%d HTTP/1.1\r\nHost: %s\r\n\r\n", processPath, answer.Process, l.host))
	})
}

func checkMetrics(t *testing.T, l limits, n int, act func(*client) error) {
	t.Helper()
	s := startScheduler(t, l, metricsPort)
	checkCrowd(t, s.subject, getListener(t, s, metricsPort, "/metrics"), n, act)
}

// Headers that never end must not use up the memory.
func TestMetricsHeaderNeverFinished(t *testing.T) {
	checkMetrics(t, frontMemory, frontCrowd, headerNeverFinished)
}

// Metrics that nobody reads must not use up the memory.
func TestMetricsPipelinedUnread(t *testing.T) {
	checkMetrics(t, frontMemory, frontCrowd, pipelinedUnread)
}

// Connections that send nothing must not use up the descriptors.
func TestMetricsSilent(t *testing.T) { checkMetrics(t, frontDescriptors, frontCrowd, silent) }
