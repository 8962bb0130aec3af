package process

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuck is a reader that has stopped.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// A reader that has stopped blocks neither a line nor the end of the process,
// and what is left out is counted.
func TestStoppedReaderBlocksNothing(t *testing.T) {
	is := is.New(t)
	s := stuck{make(chan struct{})}
	defer close(s.release)
	w := NewBoundedWriter(s)
	begin := time.Now()
	for range 2 * logBacklog {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	is.True(w.Dropped() > 0)
	w.Close()
	is.True(time.Since(begin) < 2*time.Second)
}

type counter struct{ n atomic.Int64 }

func (c *counter) Write(b []byte) (int, error) {
	c.n.Add(1)
	return len(b), nil
}

// The volume stays within the burst and the rate.
func TestVolumeIsBounded(t *testing.T) {
	is := is.New(t)
	c := &counter{}
	w := NewBoundedWriter(c)
	for range 3 * logBurst {
		_, _ = w.Write([]byte("line\n"))
		if len(w.lines) > logBacklog/2 {
			time.Sleep(time.Millisecond)
		}
	}
	w.Close()
	is.True(c.n.Load() <= logBurst+2*logLinesPerSecond)
	is.True(c.n.Load() >= logBurst)
	is.Equal(c.n.Load()+w.Dropped(), int64(3*logBurst))
}
