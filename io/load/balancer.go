package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// pollInterval is the interval between two readiness polls of an entry, and
// pollTimeout is the time limit for one poll and for the request that injects the
// fault of a plan.
const (
	pollInterval = 200 * time.Millisecond
	pollTimeout  = time.Second
)

// balancer tracks which entries are ready. Like the platform's load balancer, it
// polls GET /ready on each entry. An entry without a readiness address is always
// considered ready.
type balancer struct {
	ready []atomic.Bool
	done  chan struct{}
}

// startBalancer starts polling the entries of p. Polling stops when ctx is done;
// the done channel is closed after the last poll has returned.
func startBalancer(ctx context.Context, p *Plan) *balancer {
	b := &balancer{ready: make([]atomic.Bool, len(p.Entries)), done: make(chan struct{})}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	if len(p.ReadinessAddresses) == 0 {
		close(b.done)
		return b
	}
	finished := make(chan struct{}, len(p.ReadinessAddresses))
	for i, addr := range p.ReadinessAddresses {
		go func() {
			b.poll(ctx, i, addr)
			finished <- struct{}{}
		}()
	}
	go func() {
		for range p.ReadinessAddresses {
			<-finished
		}
		close(b.done)
	}()
	return b
}

func (b *balancer) poll(ctx context.Context, i int, addr netip.AddrPort) {
	client := &http.Client{Timeout: pollTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		resp, err := client.Get("http://" + addr.String() + "/ready")
		b.ready[i].Store(err == nil && resp.StatusCode == http.StatusOK)
		if err == nil {
			resp.Body.Close()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// targets returns the indexes of the entries to try, in order, starting with
// first. It returns only the ready entries, or all entries if none is ready.
func (b *balancer) targets(first int) []int {
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
