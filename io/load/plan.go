package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"
)

// Class describes one class of requests and its share of the arrivals.
type Class struct {
	Name string `json:"name"`
	// Share is the weight of the class among all classes. The weights need not
	// sum to 1.
	Share float64 `json:"share"`
	// Service is the service to call, and Path is the path of the requests
	// within it.
	Service  string        `json:"service"`
	Path     string        `json:"path"`
	Deadline time.Duration `json:"-"`
	// NonIdempotent is the fraction of requests that are marked non-idempotent,
	// from 0 to 1.
	NonIdempotent float64 `json:"non-idempotent"`
}

// Fault is a request that is sent once during a run, for example to the fault
// injection interface of a stand-in. It is sent as a POST of Body to Path at the
// address To when the time After has passed since the start of the run.
type Fault struct {
	After time.Duration
	To    netip.AddrPort
	Path  string
	Body  json.RawMessage
}

// Plan describes one load test run.
type Plan struct {
	Entries []netip.AddrPort
	// ReadinessAddresses are the addresses at which the entries report whether
	// they are ready, in the order of Entries. If it is empty, all entries are
	// considered ready.
	ReadinessAddresses []netip.AddrPort
	Service            string
	// Rate is the mean number of arrivals per second.
	Rate     float64
	Duration time.Duration
	Deadline time.Duration
	// NonIdempotent is the fraction of requests that are marked non-idempotent,
	// from 0 to 1.
	NonIdempotent float64
	// ResponseSize is the requested length of the response after its first
	// line, in bytes.
	ResponseSize int
	Seed         uint64
	// Classes, if not empty, replaces Service, Deadline and NonIdempotent.
	Classes []Class
	// AcceptAnyAnswer accepts every complete response with a status below 500
	// as valid. Otherwise only the response of an endpoint stand-in to the same
	// request is valid.
	AcceptAnyAnswer bool
	Fault           *Fault
}

// Limits of a plan. MaxRate is in requests per second.
const (
	MaxRate     = 100_000
	MaxDuration = 24 * time.Hour
)

// Validate returns an error for the first invalid value. The error names the flag
// that sets the value.
func (p *Plan) Validate() error {
	switch {
	case len(p.Entries) == 0:
		return status.At(status.ErrBadSetting, "--entry", "")
	case len(p.ReadinessAddresses) > 0 && len(p.ReadinessAddresses) != len(p.Entries):
		return status.At(status.ErrBadSetting, "--ready", strconv.Itoa(len(p.ReadinessAddresses)))
	case p.Rate <= 0 || p.Rate > MaxRate:
		return status.At(status.ErrBadSetting, "--rate", strconv.FormatFloat(p.Rate, 'g', -1, 64))
	case p.Duration <= 0 || p.Duration > MaxDuration:
		return status.At(status.ErrBadSetting, "--duration", p.Duration.String())
	}
	return validateClasses(p.classes())
}

func validateClasses(classes []Class) error {
	seen := make(map[string]bool)
	for _, c := range classes {
		switch {
		case c.Service == "":
			return status.At(status.ErrBadSetting, "--service", c.Name)
		case c.Deadline <= 0:
			return status.At(status.ErrBadSetting, "--deadline", c.Deadline.String())
		case c.NonIdempotent < 0 || c.NonIdempotent > 1:
			return status.At(status.ErrBadSetting, "--non-idempotent", c.Name)
		case c.Share <= 0 || seen[c.Name]:
			return status.At(status.ErrBadSetting, "--class", c.Name)
		}
		seen[c.Name] = true
	}
	return nil
}

// defaultClass is the name of the single class of a plan without classes.
const defaultClass = "all"

func (p *Plan) classes() []Class {
	if len(p.Classes) > 0 {
		return p.Classes
	}
	return []Class{{Name: defaultClass, Share: 1, Service: p.Service, Path: "/enquiry",
		Deadline: p.Deadline, NonIdempotent: p.NonIdempotent}}
}

// pickClass returns the class that x selects among the weighted classes. x is in
// the interval [0, 1).
func pickClass(classes []Class, x float64) *Class {
	total := 0.0
	for i := range classes {
		total += classes[i].Share
	}
	for i := range classes {
		x -= classes[i].Share / total
		if x < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

// inject waits until the fault is due and injects it. The error is nil if the fault
// was injected.
func (f *Fault) inject(ctx context.Context) error {
	timer := time.NewTimer(f.After)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	client := httpjson.NewClient(pollTimeout)
	defer client.Close()
	return client.Call(ctx, http.MethodPost, f.To, f.Path, f.Body, nil)
}
