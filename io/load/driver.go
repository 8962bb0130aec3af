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

// Observation is what one arrival met.
type Observation struct {
	ID         string
	Class      string
	Idempotent bool
	Outcome    caller.Outcome
	Code       status.Code
	// NoAnswer means that the connection ended without an answer.
	NoAnswer bool
	// Whole means that the answer was complete and the request's own.
	Valid   bool
	Latency time.Duration
	// Sent is the scheduled time since the start of the run.
	ScheduledAt time.Duration
}

// arrival is one scheduled request.
type arrival struct {
	id         string
	class      *Class
	at         time.Duration
	idempotent bool
	entry      int
}

// schedule draws all arrivals of a plan.
func schedule(p Plan) []arrival {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	classes := p.classes()
	var out []arrival
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return out
		}
		class := draw(classes, rng.Float64())
		out = append(out, arrival{
			id:         fmt.Sprintf("load-%d-%06d", p.Seed, len(out)),
			class:      class,
			at:         at,
			idempotent: rng.Float64() >= class.NonIdempotent,
			entry:      rng.IntN(len(p.Entries)),
		})
	}
}

// Run drives the plan and returns one observation for each arrival. An error
// means that the plan's fault was not set.
func Run(ctx context.Context, p Plan) ([]Observation, error) {
	ctx, cancel := context.WithCancel(ctx)
	fault := make(chan error, 1)
	if p.Fault != nil {
		go func() { fault <- p.Fault.send(ctx) }()
	} else {
		fault <- nil
	}
	b := startBalancer(ctx, &p)
	out := p.drive(ctx, b)
	var err error
	select {
	case err = <-fault:
		cancel()
	default:
		cancel()
		err = <-fault
	}
	<-b.ended
	return out, err
}

// drive sends each arrival at its time.
func (p Plan) drive(ctx context.Context, b *balancer) []Observation {
	arrivals := schedule(p)
	out := make([]Observation, len(arrivals))
	client := newClient()
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
			out[i] = p.one(ctx, client, b, a)
			out[i].Latency = time.Since(began) - a.at
			out[i].ScheduledAt = a.at
		})
	}
	wg.Wait()
	return out
}

// slack is how long an answer may come after the deadline.
const slack = 2 * time.Second

func newClient() *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &http.Client{Transport: t}
}

// one sends an arrival; like a balancer it turns to the next entry only if
// the connection was refused, so that nothing was sent.
func (p Plan) one(ctx context.Context, c *http.Client, b *balancer, a arrival) Observation {
	ctx, cancel := context.WithTimeout(ctx, a.class.Deadline+slack)
	defer cancel()
	o := Observation{ID: a.id, Class: a.class.Name, Idempotent: a.idempotent, Outcome: caller.Unknown, NoAnswer: true}
	for _, i := range b.order(a.entry) {
		w, err := p.send(ctx, c, a, p.Entries[i])
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
	url := fmt.Sprintf("http://%s/services/%s%s", to, a.class.Service, a.class.Path)
	if p.ResponseSize > 0 {
		url += "?size=" + strconv.Itoa(p.ResponseSize)
	}
	// A POST is never repeated by the transport on its own.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("enquiry")))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	r.GetBody = nil
	r.Header.Set(iocaller.HeaderRequestID, a.id)
	r.Header.Set(iocaller.HeaderIdempotent, strconv.FormatBool(a.idempotent))
	r.Header.Set(iocaller.HeaderDeadline, a.class.Deadline.String())
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
	if p.AcceptAnyAnswer {
		o.Valid = w.StatusCode < http.StatusInternalServerError
		return o
	}
	first := "request " + o.ID + " body 7\n"
	o.Valid = w.StatusCode == http.StatusOK && strings.HasPrefix(string(body), first) &&
		len(body) == len(first)+p.ResponseSize
	return o
}
