// Package load is an open-loop load generator for entries, the processes that
// receive callers' requests. The schedule of the arrivals is fixed before the first
// one, and arrivals never wait for responses. Latency is measured from the scheduled
// arrival, which avoids coordinated omission when the system stalls.
//
// Invariant: each arrival that is sent yields exactly one observation.
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

// Observation is the outcome of one arrival.
type Observation struct {
	ID         string
	Class      string
	Idempotent bool
	Outcome    caller.Outcome
	Code       status.Code
	// NoAnswer is set if the connection ended without a complete response.
	NoAnswer bool
	// Valid is set if the response is complete and passes the check that
	// Plan.AcceptAnyAnswer selects.
	Valid   bool
	Latency time.Duration
	// ScheduledAt is the scheduled arrival time, relative to the start of the
	// run.
	ScheduledAt time.Duration
}

// arrival is one scheduled request. The time at is relative to the start of the run,
// and entry is the index of the entry to try first.
type arrival struct {
	id         string
	class      *Class
	at         time.Duration
	idempotent bool
	entry      int
}

// schedule draws all arrivals of a plan from its seed.
func schedule(p Plan) []arrival {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	classes := p.classes()
	var arrivals []arrival
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return arrivals
		}
		class := pickClass(classes, rng.Float64())
		arrivals = append(arrivals, arrival{
			id:         fmt.Sprintf("load-%d-%06d", p.Seed, len(arrivals)),
			class:      class,
			at:         at,
			idempotent: rng.Float64() >= class.NonIdempotent,
			entry:      rng.IntN(len(p.Entries)),
		})
	}
}

// Run executes the plan and returns one observation for each arrival that was sent.
// An error means that the fault of the plan was not injected.
func Run(ctx context.Context, p Plan) ([]Observation, error) {
	ctx, cancel := context.WithCancel(ctx)
	faultErr := make(chan error, 1)
	if p.Fault != nil {
		go func() { faultErr <- p.Fault.inject(ctx) }()
	} else {
		faultErr <- nil
	}
	b := startBalancer(ctx, &p)
	observations := p.sendArrivals(ctx, b)
	var err error
	select {
	case err = <-faultErr:
		cancel()
	default:
		cancel()
		err = <-faultErr
	}
	<-b.done
	return observations, err
}

// sendArrivals sends each arrival at its scheduled time and stops when ctx is done. It
// returns the observations after all responses have arrived.
func (p Plan) sendArrivals(ctx context.Context, b *balancer) []Observation {
	arrivals := schedule(p)
	observations := make([]Observation, len(arrivals))
	client := newClient()
	defer client.CloseIdleConnections()
	start := time.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		if wait := a.at - time.Since(start); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			observations = observations[:i]
			break
		}
		wg.Go(func() {
			observations[i] = p.sendWithRetry(ctx, client, b, a)
			observations[i].Latency = time.Since(start) - a.at
			observations[i].ScheduledAt = a.at
		})
	}
	wg.Wait()
	return observations
}

// deadlineGrace is how long after its deadline a request may still be answered.
const deadlineGrace = 2 * time.Second

func newClient() *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &http.Client{Transport: t}
}

// sendWithRetry sends one arrival. Like a load balancer, it tries the next entry
// only if the connection was refused, because then nothing was sent.
func (p Plan) sendWithRetry(ctx context.Context, client *http.Client, b *balancer, a arrival) Observation {
	ctx, cancel := context.WithTimeout(ctx, a.class.Deadline+deadlineGrace)
	defer cancel()
	o := Observation{ID: a.id, Class: a.class.Name, Idempotent: a.idempotent, Outcome: caller.Unknown, NoAnswer: true}
	for _, i := range b.targets(a.entry) {
		resp, err := p.send(ctx, client, a, p.Entries[i])
		if errors.Is(err, syscall.ECONNREFUSED) {
			o.Outcome = caller.NotRun
			continue
		}
		if err != nil {
			o.Outcome = caller.Unknown
			return o
		}
		return p.observe(o, resp)
	}
	return o
}

func (p Plan) send(ctx context.Context, client *http.Client, a arrival, addr netip.AddrPort) (*http.Response, error) {
	url := fmt.Sprintf("http://%s/services/%s%s", addr, a.class.Service, a.class.Path)
	if p.ResponseSize > 0 {
		url += "?size=" + strconv.Itoa(p.ResponseSize)
	}
	// GetBody is removed below, so that the transport never retries the POST on its
	// own.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("enquiry")))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.GetBody = nil
	req.Header.Set(iocaller.HeaderRequestID, a.id)
	req.Header.Set(iocaller.HeaderIdempotent, strconv.FormatBool(a.idempotent))
	req.Header.Set(iocaller.HeaderDeadline, a.class.Deadline.String())
	return client.Do(req)
}

func (p Plan) observe(o Observation, resp *http.Response) Observation {
	defer resp.Body.Close()
	o.Outcome = caller.Outcome(resp.Header.Get(iocaller.HeaderOutcome))
	o.Code = status.Code(resp.Header.Get(iocaller.HeaderCode))
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		o.Outcome = caller.Unknown
		return o
	}
	o.NoAnswer = false
	if p.AcceptAnyAnswer {
		o.Valid = resp.StatusCode < http.StatusInternalServerError
		return o
	}
	// The first line of an endpoint stand-in's response contains the request id and
	// the length of the request body "enquiry", 7 bytes. ResponseSize bytes follow.
	firstLine := "request " + o.ID + " body 7\n"
	o.Valid = resp.StatusCode == http.StatusOK && strings.HasPrefix(string(body), firstLine) &&
		len(body) == len(firstLine)+p.ResponseSize
	return o
}
