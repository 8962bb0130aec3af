package scheduler

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"slices"
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

// Write sends b in packets, one after the other.
func (w *slowWriter) Write(b []byte) (int, error) {
	const packetBytes = 16 << 10
	w.link.sent.Add(int64(len(b)))
	if w.link.bytesPerSecond == 0 {
		return w.ResponseWriter.Write(b)
	}
	sent := 0
	for packet := range slices.Chunk(b, packetBytes) {
		select {
		case <-time.After(time.Second * time.Duration(len(packet)) / time.Duration(w.link.bytesPerSecond)):
		case <-w.ctx.Done():
			return sent, w.ctx.Err()
		}
		n, err := w.ResponseWriter.Write(packet)
		sent += n
		if err != nil {
			return sent, err
		}
		w.ResponseWriter.(http.Flusher).Flush()
	}
	return sent, nil
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

// A configuration that takes longer to transfer than readTimeout comes into force all
// the same.
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

// A read of a silent store is abandoned after the same time, however many reads before
// it failed. With a timeout that grew, an entry did not notice for four seconds that the
// store answered again, and refused requests by an outdated configuration.
func TestSilentReadIsAbandonedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hang := func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		for range 5 {
			begin := time.Now()
			is.True(readLarge(t.Context(), time.Second, hang) != nil)
			is.Equal(time.Since(begin), time.Second+readTimeout)
		}
		// An answer that has begun may take longer.
		begin := time.Now()
		is.True(readLarge(t.Context(), 0, func(ctx context.Context) error {
			time.Sleep(readTimeout / 2)
			httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
			return hang(ctx)
		}) != nil)
		is.Equal(time.Since(begin), readTimeout/2+transferTimeout)
	})
}
