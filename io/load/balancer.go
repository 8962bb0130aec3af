package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// pollEvery is how often a balancer asks whether a target is ready, and
// pollTimeout how long it waits for the answer.
const (
	pollEvery   = 200 * time.Millisecond
	pollTimeout = time.Second
)

// balancer knows which targets are ready, as the platform's balancer does: it
// polls each target's GET /ready. A target without an address to poll is
// always taken for ready.
type balancer struct {
	ready []atomic.Bool
	ended chan struct{}
}

// startBalancer polls until ctx ends; ended is closed then.
func startBalancer(ctx context.Context, p *Plan) *balancer {
	b := &balancer{ready: make([]atomic.Bool, len(p.Entries)), ended: make(chan struct{})}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	if len(p.ReadinessAddresses) == 0 {
		close(b.ended)
		return b
	}
	polls := make(chan struct{}, len(p.ReadinessAddresses))
	for i, a := range p.ReadinessAddresses {
		go func() {
			b.poll(ctx, i, a)
			polls <- struct{}{}
		}()
	}
	go func() {
		for range p.ReadinessAddresses {
			<-polls
		}
		close(b.ended)
	}()
	return b
}

func (b *balancer) poll(ctx context.Context, i int, a netip.AddrPort) {
	c := &http.Client{Timeout: pollTimeout}
	defer c.CloseIdleConnections()
	t := time.NewTicker(pollEvery)
	defer t.Stop()
	for {
		w, err := c.Get("http://" + a.String() + "/ready")
		b.ready[i].Store(err == nil && w.StatusCode == http.StatusOK)
		if err == nil {
			w.Body.Close()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// order returns the targets to try from first on: those that are ready, or
// all if none is.
func (b *balancer) order(first int) []int {
	var ready, all []int
	for i := range b.ready {
		n := (first + i) % len(b.ready)
		all = append(all, n)
		if b.ready[n].Load() {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return all
	}
	return ready
}
