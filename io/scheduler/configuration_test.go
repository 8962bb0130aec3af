package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
)

// largeConfiguration returns the stored form of a configuration with 1,500 queues.
func largeConfiguration(t *testing.T, version int64) []byte {
	cfg := job.Configuration{Version: version}
	for i := range 1500 {
		cfg.Queues = append(cfg.Queues, job.Queue{Name: fmt.Sprintf("queue-%d", i), Host: "jobs.example",
			Prefix: fmt.Sprintf("/queue-%d/", i), Service: "svc", MaxFailures: 2, Stretch: 2})
	}
	b, err := platformtest.EncodeConfiguration(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// slowLink delays responses as a link with the given bytes per second does, and
// counts their bytes.
type slowLink struct {
	handler        http.Handler
	bytesPerSecond int
	sent           atomic.Int64
}

func (l *slowLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.handler.ServeHTTP(&slowWriter{w, l, r.Context()}, r)
}

type slowWriter struct {
	http.ResponseWriter
	link *slowLink
	ctx  context.Context
}

func (w *slowWriter) Write(b []byte) (int, error) {
	w.link.sent.Add(int64(len(b)))
	if w.link.bytesPerSecond > 0 {
		select {
		case <-time.After(time.Second * time.Duration(len(b)) / time.Duration(w.link.bytesPerSecond)):
		case <-w.ctx.Done():
			return 0, w.ctx.Err()
		}
	}
	return w.ResponseWriter.Write(b)
}

// The check for a new configuration takes few bytes while there is none. Read whole
// every 700 ms, one of 1,500 queues fills a link of 2 Mbit/s, and nothing else gets
// through in time.
func TestConfigurationCheckTakesFewBytes(t *testing.T) {
	is := is.New(t)
	store := fleet.NewStore()
	link := &slowLink{handler: platformtest.StoreHandler(store)}
	s, _ := newTestScheduler(t, link)
	b := largeConfiguration(t, 6)
	store.Put(platform.ConfigurationKey, b)
	r := configurationReader{mirror: s.mirror}
	for range 10 {
		is.NoErr(r.update(t.Context(), 0))
	}
	is.Equal(s.mirror.cfg.Load().Version, int64(6))
	is.True(link.sent.Load() < 2*int64(len(b))) // base64 takes a third more than the value

	// Neither a change nor a compaction of the history is missed.
	store.Put(platform.ConfigurationKey, largeConfiguration(t, 7))
	is.NoErr(r.update(t.Context(), 0))
	is.Equal(s.mirror.cfg.Load().Version, int64(7))
	store.Put(platform.ConfigurationKey, largeConfiguration(t, 8))
	store.Put("other", nil)
	store.Compact()
	is.NoErr(r.update(t.Context(), 0))
	is.Equal(s.mirror.cfg.Load().Version, int64(8))
}

// A configuration that takes longer to transfer than the first timeout comes into
// force all the same.
func TestLargeConfigurationOnSlowLink(t *testing.T) {
	is := is.New(t)
	store := fleet.NewStore()
	b := largeConfiguration(t, 6)
	store.Put(platform.ConfigurationKey, b)
	// The transfer takes about 1.3 s.
	s, _ := newTestScheduler(t, &slowLink{handler: platformtest.StoreHandler(store), bytesPerSecond: len(b)})
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.mirror.followConfiguration(ctx) }()
	for s.mirror.cfg.Load().Version != 6 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	is.NoErr(ctx.Err())
	cancel()
	is.NoErr(<-done)
}

func TestGrowingTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var timeout growingTimeout
		hang := func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		for _, want := range []time.Duration{readTimeout, 2 * readTimeout, 4 * readTimeout, 8 * readTimeout, maxReadTimeout, maxReadTimeout} {
			begin := time.Now()
			is.True(errors.Is(timeout.call(t.Context(), 0, hang), context.DeadlineExceeded))
			is.Equal(time.Since(begin), min(want, maxReadTimeout))
		}
		is.NoErr(timeout.call(t.Context(), 0, func(context.Context) error { return nil }))
		begin := time.Now()
		is.True(timeout.call(t.Context(), time.Second, hang) != nil)
		is.Equal(time.Since(begin), time.Second+readTimeout)
	})
}
