// Package load drives callers' requests against entries with an open loop:
// arrivals follow the clock and never wait for answers, and latency counts
// from the scheduled arrival, so that a stalled system is not flattered.
//
// Invariant: each arrival ends in exactly one observation.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/status"
	iocaller "rosemarygap/io/caller"

	"github.com/pkg/errors"
)

// Plan describes one run.
type Plan struct {
	Entries []netip.AddrPort
	Service string
	// Rate is the mean number of arrivals a second.
	Rate     float64
	Duration time.Duration
	Deadline time.Duration
	// NonIdempotent is the share of arrivals marked so, 0 to 1.
	NonIdempotent float64
	// Size is the length of the asked answer beyond its first line, in bytes.
	Size int
	Seed uint64
}

// Observation is what one arrival met.
type Observation struct {
	ID         string
	Idempotent bool
	Outcome    caller.Outcome
	Code       status.Code
	// NoAnswer means that the connection ended without an answer.
	NoAnswer bool
	// Whole means that the answer was complete and the request's own.
	Whole   bool
	Latency time.Duration
	// Sent is the scheduled time since the start of the run.
	Sent time.Duration
}

// arrival is one scheduled request.
type arrival struct {
	id         string
	at         time.Duration
	idempotent bool
	entry      int
}

// schedule draws all arrivals of a plan.
func schedule(p Plan) []arrival {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var out []arrival
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return out
		}
		out = append(out, arrival{
			id:         fmt.Sprintf("load-%d-%06d", p.Seed, len(out)),
			at:         at,
			idempotent: rng.Float64() >= p.NonIdempotent,
			entry:      rng.IntN(len(p.Entries)),
		})
	}
}

// Run drives the plan and returns one observation for each arrival.
func Run(ctx context.Context, p Plan) []Observation {
	arrivals := schedule(p)
	out := make([]Observation, len(arrivals))
	client := newClient(p)
	defer client.CloseIdleConnections()
	began := time.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		if wait := a.at - time.Since(began); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			out = out[:i]
			break
		}
		wg.Go(func() {
			out[i] = p.one(ctx, client, a)
			out[i].Latency = time.Since(began) - a.at
			out[i].Sent = a.at
		})
	}
	wg.Wait()
	return out
}

// slack is how long an answer may come after the deadline.
const slack = 2 * time.Second

func newClient(p Plan) *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &http.Client{Transport: t, Timeout: p.Deadline + slack}
}

// one sends an arrival; like a balancer it turns to the next entry only if
// the connection was refused, so that nothing was sent.
func (p Plan) one(ctx context.Context, c *http.Client, a arrival) Observation {
	o := Observation{ID: a.id, Idempotent: a.idempotent, Outcome: caller.Unknown, NoAnswer: true}
	for i := range p.Entries {
		to := p.Entries[(a.entry+i)%len(p.Entries)]
		w, err := p.send(ctx, c, a, to)
		if errors.Is(err, syscall.ECONNREFUSED) {
			o.Outcome = caller.NotRun
			continue
		}
		if err != nil {
			o.Outcome = caller.Unknown
			return o
		}
		return p.observe(o, w)
	}
	return o
}

func (p Plan) send(ctx context.Context, c *http.Client, a arrival, to netip.AddrPort) (*http.Response, error) {
	url := fmt.Sprintf("http://%s/services/%s/enquiry?size=%d", to, p.Service, p.Size)
	// A POST is never repeated by the transport on its own.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("enquiry")))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	r.GetBody = nil
	r.Header.Set(iocaller.HeaderRequestID, a.id)
	r.Header.Set(iocaller.HeaderIdempotent, strconv.FormatBool(a.idempotent))
	r.Header.Set(iocaller.HeaderDeadline, p.Deadline.String())
	return c.Do(r)
}

func (p Plan) observe(o Observation, w *http.Response) Observation {
	defer w.Body.Close()
	o.Outcome = caller.Outcome(w.Header.Get(iocaller.HeaderOutcome))
	o.Code = status.Code(w.Header.Get(iocaller.HeaderCode))
	body, err := io.ReadAll(w.Body)
	if err != nil {
		o.Outcome = caller.Unknown
		return o
	}
	o.NoAnswer = false
	first := "request " + o.ID + " body 7\n"
	o.Whole = w.StatusCode == http.StatusOK && strings.HasPrefix(string(body), first) &&
		len(body) == len(first)+p.Size
	return o
}
