package operator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rosemarygap/core/wire"
)

// Size of the configuration and rate of its changes that the system is designed for,
// and the number of regions. Each service is needed in one region only.
const (
	serviceCount  = 400
	teamCount     = 130
	classCount    = 100
	ruleCount     = 200
	changesPerDay = 1000
	regionCount   = 2
	secondsPerDay = 24 * 60 * 60
)

func newLargeDocument() *Document {
	d := &Document{Format: Format, Cells: 48, Timings: Timings{
		Tick: wire.Duration(500 * time.Millisecond), LeaseGrant: wire.Duration(15 * time.Second),
		OutageHold: wire.Duration(time.Hour), AnnouncementTTL: wire.Duration(3 * time.Second)}}
	for i := range serviceCount {
		d.Services = append(d.Services, Service{Name: fmt.Sprintf("service-%03d", i),
			LatencyTarget: wire.Duration(200 * time.Millisecond), Deadline: wire.Duration(2 * time.Second),
			QueueLimit: 256, MaxBodyBytes: 1 << 20})
	}
	for i := range teamCount {
		d.Teams = append(d.Teams, Team{Name: fmt.Sprintf("team-%03d", i),
			Quota: Quota{Processors: 640000, Memory: 2 << 20, Accelerators: 4}})
	}
	for i := range classCount {
		d.Classes = append(d.Classes, Class{Name: fmt.Sprintf("class-%03d", i), Urgent: i%10 == 0})
	}
	for i := range ruleCount {
		d.Rules = append(d.Rules, Rule{Name: fmt.Sprintf("rule-%03d", i),
			Class: d.Classes[i%classCount].Name, AvoidService: d.Services[i].Name})
	}
	return d
}

// delta is an edit that is encoded as the one element that it replaces.
type delta struct {
	Revision int64    `json:"revision"`
	Service  *Service `json:"service,omitempty"`
	Team     *Team    `json:"team,omitempty"`
}

// drawEdit draws one edit and returns the region that needs it, or -1 if all
// regions do.
func drawEdit(d *Document, rng *rand.Rand, revision int64) (delta, int) {
	if rng.IntN(4) == 0 {
		t := &d.Teams[rng.IntN(len(d.Teams))]
		t.Quota.Processors += 1000
		return delta{Revision: revision, Team: t}, -1
	}
	i := rng.IntN(len(d.Services))
	d.Services[i].QueueLimit++
	return delta{Revision: revision, Service: &d.Services[i]}, i % regionCount
}

// apply replaces the element that has the name of the delta's element.
func (c *delta) apply(d *Document) {
	if c.Service != nil {
		*d.Service(c.Service.Name) = *c.Service
	}
	if c.Team != nil {
		*d.Team(c.Team.Name) = *c.Team
	}
}

// BenchmarkDissemination compares the bytes that one entry receives and the time
// that it takes per change of a large configuration: for whole documents, for
// deltas, and for deltas filtered by the region whose services the entry serves. The
// entry is in region 0.
func BenchmarkDissemination(b *testing.B) {
	for _, mode := range []string{"whole", "deltas", "filtered-deltas"} {
		b.Run(mode, func(b *testing.B) {
			source, replica := newLargeDocument(), newLargeDocument()
			rng := rand.New(rand.NewPCG(1, 1))
			bytes, i := 0, int64(0)
			for b.Loop() {
				i++
				c, region := drawEdit(source, rng, i)
				if mode == "filtered-deltas" && region > 0 {
					continue
				}
				n, err := deliver(mode, source, replica, c)
				if err != nil {
					b.Fatal(err)
				}
				bytes += n
			}
			perChange := float64(bytes) / float64(b.N)
			b.ReportMetric(perChange, "B/change")
			b.ReportMetric(perChange*changesPerDay/secondsPerDay, "B/s")
		})
	}
}

// deliver encodes a change of source, decodes it into replica, and returns the size
// of the encoded change in bytes.
func deliver(mode string, source, replica *Document, c delta) (int, error) {
	if mode != "whole" {
		msg, err := json.Marshal(c)
		if err != nil {
			return 0, err
		}
		var got delta
		if err := json.Unmarshal(msg, &got); err != nil {
			return 0, err
		}
		got.apply(replica)
		return len(msg), nil
	}
	msg, err := json.Marshal(AcceptedConfig{Revision: c.Revision, Document: *source})
	if err != nil {
		return 0, err
	}
	var got AcceptedConfig
	if err := json.Unmarshal(msg, &got); err != nil {
		return 0, err
	}
	*replica = got.Document
	return len(msg), nil
}
