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

// Class is a kind of request with its share of the arrivals.
type Class struct {
	Name string `json:"name"`
	// Share of the arrivals; the shares of all classes are weighed together.
	Share float64 `json:"share"`
	// Service and Path are where its requests go.
	Service  string        `json:"service"`
	Path     string        `json:"path"`
	Deadline time.Duration `json:"-"`
	// NonIdempotent is the share of its requests marked so, 0 to 1.
	NonIdempotent float64 `json:"non-idempotent"`
}

// Fault is one message that is sent during a run, for example to the switches
// of a stand-in.
type Fault struct {
	After time.Duration
	To    netip.AddrPort
	Path  string
	Body  json.RawMessage
}

// Plan describes one run.
type Plan struct {
	Entries []netip.AddrPort
	// Ready are the addresses at which the entries tell whether they are
	// ready, in the same order; empty to send to all always.
	ReadinessAddresses []netip.AddrPort
	Service            string
	// Rate is the mean number of arrivals a second.
	Rate     float64
	Duration time.Duration
	Deadline time.Duration
	// NonIdempotent is the share of arrivals marked so, 0 to 1.
	NonIdempotent float64
	// Size is the length of the asked answer beyond its first line, in bytes.
	ResponseSize int
	Seed         uint64
	// Classes replace Service, Deadline and NonIdempotent if there are any.
	Classes []Class
	// AnyAnswer accepts every complete answer with a status under 500 as
	// whole; otherwise only the answers of the endpoints' stand-ins.
	AcceptAnyAnswer bool
	Fault           *Fault
}

// Bounds of a plan.
const (
	MaxRate     = 100_000
	MaxDuration = 24 * time.Hour
)

// Check returns the first value at fault, named as the flag that sets it.
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
	return checkClasses(p.classes())
}

func checkClasses(cs []Class) error {
	seen := make(map[string]bool)
	for _, c := range cs {
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

// defaultClass is the class of a plan without classes.
const defaultClass = "all"

func (p *Plan) classes() []Class {
	if len(p.Classes) > 0 {
		return p.Classes
	}
	return []Class{{Name: defaultClass, Share: 1, Service: p.Service, Path: "/enquiry",
		Deadline: p.Deadline, NonIdempotent: p.NonIdempotent}}
}

// draw returns the class that a number between 0 and 1 falls on.
func draw(cs []Class, x float64) *Class {
	total := 0.0
	for i := range cs {
		total += cs[i].Share
	}
	for i := range cs {
		x -= cs[i].Share / total
		if x < 0 {
			return &cs[i]
		}
	}
	return &cs[len(cs)-1]
}

// send waits for the fault's time and sends it; the error tells whether it
// was set.
func (f *Fault) send(ctx context.Context) error {
	t := time.NewTimer(f.After)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	c := httpjson.NewClient(pollTimeout)
	defer c.Close()
	return c.Call(ctx, http.MethodPost, f.To, f.Path, f.Body, nil)
}
