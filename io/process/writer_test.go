package process

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedWriter blocks in Write until it is released, like a pipe whose reader
// has stopped.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// A reader that has stopped must block neither Write nor the end of the
// process. The lines that are dropped meanwhile are counted.
func TestStoppedReaderDoesNotBlock(t *testing.T) {
	is := is.New(t)
	s := blockedWriter{make(chan struct{})}
	defer close(s.release)
	w := NewBoundedWriter(s)
	begin := time.Now()
	for range 2 * maxQueuedLines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	is.True(w.Dropped() > 0)
	w.Close()
	is.True(time.Since(begin) < 2*time.Second)
}

// countingWriter counts the lines and bytes that are written to it.
type countingWriter struct{ lines, bytes atomic.Int64 }

func (c *countingWriter) Write(b []byte) (int, error) {
	c.lines.Add(1)
	c.bytes.Add(int64(len(b)))
	return len(b), nil
}

// The volume in bytes stays within the burst and the rate, whatever the length
// of the lines, and each dropped line is counted.
func TestVolumeIsBounded(t *testing.T) {
	for _, length := range []int{40, 350, 60_000} {
		t.Run(strconv.Itoa(length), func(t *testing.T) {
			is := is.New(t)
			c := &countingWriter{}
			w := NewBoundedWriter(c)
			line := bytes.Repeat([]byte("x"), length)
			lines := 3 * logBurstBytes / length
			begin := time.Now()
			for range lines {
				_, _ = w.Write(line)
				for len(w.lines) > maxQueuedLines/2 {
					time.Sleep(time.Millisecond)
				}
			}
			w.Close()
			maxBytes := logBurstBytes + int64(time.Since(begin).Seconds()*logBytesPerSecond)
			is.True(c.bytes.Load() <= maxBytes)
			is.True(c.bytes.Load() > logBurstBytes-int64(length))
			is.Equal(c.lines.Load()+w.Dropped(), int64(lines))
		})
	}
}

// Dropped lines are reported in a log line.
func TestDroppedLinesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		w := NewBoundedWriter(io.Discard)
		w.dropped.Store(7)
		ctx, cancel := context.WithTimeout(t.Context(), reportInterval+time.Second)
		defer cancel()
		is.NoErr(w.ReportDropped(NewLogger("test", "info", &out))(ctx))
		w.Close()
		is.True(strings.Contains(out.String(), `"count":7`))
		is.True(strings.Contains(out.String(), `"event":7027`)) // event.LogLinesDropped
	})
}
