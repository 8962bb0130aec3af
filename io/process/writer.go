package process

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"rosemarygap/core/event"

	"github.com/hashicorp/go-hclog"
)

// maxQueuedLines is the number of lines that wait for a slow reader before
// lines are dropped. A line has about 300 bytes.
const maxQueuedLines = 2048

// Limits of the volume of logs, in bytes. The rate allows 600 lines of 350
// bytes per second, which the owner writes at the highest specified load. The
// burst covers the decisions about the tasks of a few hundred jobs that arrive
// at once.
const (
	logBytesPerSecond = 210_000
	logBurstBytes     = 1_050_000
)

// BoundedWriter writes whole lines in the background. It never blocks: it drops
// and counts the lines that exceed its queue or its rate.
type BoundedWriter struct {
	lines          chan []byte
	dropped        atomic.Int64
	done           chan struct{}
	availableBytes float64
	refilledAt     time.Time
}

// NewBoundedWriter returns a BoundedWriter that writes to w. The caller must
// call Close to end it.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		availableBytes: logBurstBytes, refilledAt: time.Now()}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			if _, err := w.Write(line); err != nil {
				b.dropped.Add(1)
			}
		}
	}()
	return b
}

// Write queues one line. It must not be called concurrently; the logger
// serializes its calls.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	now := time.Now()
	b.availableBytes = min(logBurstBytes, b.availableBytes+now.Sub(b.refilledAt).Seconds()*logBytesPerSecond)
	b.refilledAt = now
	if b.availableBytes < float64(len(line)) {
		b.dropped.Add(1)
		return len(line), nil
	}
	b.availableBytes -= float64(len(line))
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// closeTimeout is the longest wait for a slow reader at the end of a process.
const closeTimeout = 300 * time.Millisecond

// Close waits until the queued lines are written, or for closeTimeout if the
// reader of the output has stopped. Write must not be called after Close.
func (b *BoundedWriter) Close() {
	close(b.lines)
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

// reportInterval is the time between two checks for dropped lines.
const reportInterval = 5 * time.Second

// ReportDropped returns an actor that periodically logs how many lines were
// dropped since the last log line about them.
func (b *BoundedWriter) ReportDropped(l hclog.Logger) Actor {
	return func(ctx context.Context) error {
		t := time.NewTicker(reportInterval)
		defer t.Stop()
		reported := int64(0)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
			}
			if n := b.Dropped(); n > reported {
				event.LogLinesDropped.Emit(l, event.Count(int(n-reported)))
				reported = n
			}
		}
	}
}
