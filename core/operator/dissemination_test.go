package operator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rosemarygap/core/wire"
)

// The design size of the configuration and of its changes.
const (
	designServices = 400
	designTeams    = 130
	designClasses  = 100
	designRules    = 200
	changesPerDay  = 1000
	regions        = 2
	secondsPerDay  = 24 * 60 * 60
)

func designDocument() *Document {
	d := &Document{Format: Format, Cells: 48, Timings: Timings{
		Tick: wire.Duration(500 * time.Millisecond), LeaseGrant: wire.Duration(15 * time.Second),
		OutageHold: wire.Duration(time.Hour), AnnouncementTTL: wire.Duration(3 * time.Second)}}
	for i := range designServices {
		d.Services = append(d.Services, Service{Name: fmt.Sprintf("service-%03d", i),
			LatencyTarget: wire.Duration(200 * time.Millisecond), Deadline: wire.Duration(2 * time.Second),
			QueueLimit: 256, MaxBodyBytes: 1 << 20})
	}
	for i := range designTeams {
		d.Teams = append(d.Teams, Team{Name: fmt.Sprintf("team-%03d", i),
			Quota: Quota{Processors: 640000, Memory: 2 << 20, Accelerators: 4}})
	}
	for i := range designClasses {
		d.Classes = append(d.Classes, Class{Name: fmt.Sprintf("class-%03d", i), Urgent: i%10 == 0})
	}
	for i := range designRules {
		d.Rules = append(d.Rules, Rule{Name: fmt.Sprintf("rule-%03d", i),
			Class: d.Classes[i%designClasses].Name, AvoidService: d.Services[i].Name})
	}
	return d
}

// change is one edit as a delta: the named element that was replaced.
type change struct {
	Revision int64    `json:"revision"`
	Service  *Service `json:"service,omitempty"`
	Team     *Team    `json:"team,omitempty"`
}

// edit draws one edit and tells the region that alone needs it; -1 is all.
func edit(d *Document, rng *rand.Rand, revision int64) (change, int) {
	if rng.IntN(4) == 0 {
		t := &d.Teams[rng.IntN(len(d.Teams))]
		t.Quota.Processors += 1000
		return change{Revision: revision, Team: t}, -1
	}
	i := rng.IntN(len(d.Services))
	d.Services[i].QueueLimit++
	return change{Revision: revision, Service: &d.Services[i]}, i % regions
}

// apply replaces the element that a delta names.
func (c *change) apply(d *Document) {
	if c.Service != nil {
		*d.Service(c.Service.Name) = *c.Service
	}
	if c.Team != nil {
		*d.Team(c.Team.Name) = *c.Team
	}
}

// BenchmarkDissemination compares what one entry receives and spends on a
// day of changes at the design size: whole documents, deltas, and deltas
// filtered by the region whose services the entry serves.
func BenchmarkDissemination(b *testing.B) {
	for _, way := range []string{"whole", "deltas", "filtered-deltas"} {
		b.Run(way, func(b *testing.B) {
			source, here := designDocument(), designDocument()
			rng := rand.New(rand.NewPCG(1, 1))
			bytes, i := 0, int64(0)
			for b.Loop() {
				i++
				c, region := edit(source, rng, i)
				if way == "filtered-deltas" && region > 0 {
					continue
				}
				n, err := deliver(way, source, here, c)
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

func deliver(way string, source, here *Document, c change) (int, error) {
	if way != "whole" {
		msg, err := json.Marshal(c)
		if err != nil {
			return 0, err
		}
		var got change
		if err := json.Unmarshal(msg, &got); err != nil {
			return 0, err
		}
		got.apply(here)
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
	*here = got.Document
	return len(msg), nil
}
