package crowd

import (
	"fmt"
	"net/http"
	"testing"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform/platformtest"
)

// maxJobBytes is the size of the largest submission that the configuration allows.
const maxJobBytes = 256 << 10

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
