package process

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"rosemarygap/core/event"

	"github.com/hashicorp/go-hclog"
)

// logBacklog is how many lines wait for a slow reader before lines are
// dropped; a line has about 300 bytes.
const logBacklog = 2048

// Limits of the volume of logs, in bytes: 600 lines a second of 350 bytes, as
// the owner writes at the highest load of the sheets. The burst covers the
// decisions about the tasks of a few hundred jobs that arrive at once.
const (
	logBytesPerSecond = 210_000
	logBurst          = 1_050_000
)

// BoundedWriter writes whole lines in the background. It never blocks: lines
// beyond its backlog or its rate are dropped and counted.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	allowed float64
	last    time.Time
}

// NewBoundedWriter returns a writer to w. The caller ends it with Close.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, logBacklog), done: make(chan struct{}),
		allowed: logBurst, last: time.Now()}
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

// Write queues one line. The logger calls it from one goroutine at a time.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	now := time.Now()
	b.allowed = min(logBurst, b.allowed+now.Sub(b.last).Seconds()*logBytesPerSecond)
	b.last = now
	if b.allowed < float64(len(line)) {
		b.dropped.Add(1)
		return len(line), nil
	}
	b.allowed -= float64(len(line))
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// closeLimit bounds the wait for a slow reader at the end of a process.
const closeLimit = 300 * time.Millisecond

// Close waits until the queued lines are written, or for a moment if their
// reader has stopped. Nothing may be written after it.
func (b *BoundedWriter) Close() {
	close(b.lines)
	select {
	case <-b.done:
	case <-time.After(closeLimit):
	}
}

// reportEvery is how often dropped lines are reported.
const reportEvery = 5 * time.Second

// ReportDropped returns an actor that logs how many lines were dropped.
func (b *BoundedWriter) ReportDropped(l hclog.Logger) Actor {
	return func(ctx context.Context) error {
		t := time.NewTicker(reportEvery)
		defer t.Stop()
		seen := int64(0)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
			}
			if n := b.Dropped(); n > seen {
				event.LogLinesDropped.Emit(l, event.Count(int(n-seen)))
				seen = n
			}
		}
	}
}
