package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"

	"github.com/matryer/is"
)

const testEvacuationDelay = 5 * time.Second

// newZonedAgent returns an agent whose worker is in zone a, and its store.
func newZonedAgent(t *testing.T, silent bool) (*testAgent, *fleet.Store) {
	a := newTestAgent(t, silent)
	a.state.maxEvacuationsAge = maxEvacuationsAge(testEvacuationDelay)
	a.state.worker.Zone = "a"
	return a, a.useStore(t)
}

// ageOf returns the freshness of a reply of an owner that knew the evacuations age ago.
func ageOf(age time.Duration, evacuated bool) job.Freshness {
	return job.Freshness{EvacuationsAge: &age, ZoneEvacuated: evacuated}
}

// A start that only the owner, only the store, or nobody withdraws: the agent decides by
// the newest knowledge of its zone that it can get.
func TestStartsByZone(t *testing.T) {
	const old = 4500 * time.Millisecond
	for name, c := range map[string]struct {
		known     job.Freshness
		key       string
		down      bool
		wantStart bool
	}{
		"owner says evacuated":             {ageOf(0, true), "", false, false},
		"owner says open":                  {ageOf(0, false), "", false, true},
		"store says evacuated":             {ageOf(old, false), platform.EvacuationKey("a"), false, false},
		"store says another zone":          {ageOf(old, false), platform.EvacuationKey("b"), false, true},
		"store says reopened":              {ageOf(old, true), "", false, true},
		"new owner that has not read":      {ageOf(1<<63-1, false), platform.EvacuationKey("a"), false, false},
		"served by neither, last open":     {ageOf(old, false), "", true, true},
		"served by neither, last closed":   {ageOf(old, true), "", true, false},
		"owner of an earlier build":        {job.Freshness{}, "", false, true},
		"owner knows, store has no answer": {ageOf(time.Second, false), "", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, s := newZonedAgent(t, false)
				if c.key != "" {
					s.Put(c.key, []byte("\xff not JSON"))
				}
				s.SetFaults(fleet.StoreFaults{Down: c.down})
				a.receiveStart(testTask(1), c.known)
				time.Sleep(time.Second)
				is.New(t).Equal(!a.worker.first(job.OrderStart, testTask(1)).IsZero(), c.wantStart)
			})
		})
	}
}

// Starts wait in the agent's queue beside a worker that answers nothing, while the owner
// reads no evacuations but goes on replying. None may be sent once the bound is over.
func TestNoStartLongAfterEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, s := newZonedAgent(t, true)
		begin := time.Now()
		for n := range 200 {
			a.receiveStart(testTask(n), ageOf(0, false))
		}
		s.Put(platform.EvacuationKey("a"), nil)
		for time.Since(begin) < 20*time.Second {
			time.Sleep(500 * time.Millisecond)
			r := testReply()
			f := ageOf(time.Since(begin), false)
			r.Freshness = &f
			a.apply(r)
			a.worker.setSilent(time.Since(begin) < 6*time.Second)
		}
		last := a.worker.last(job.OrderStart).Sub(begin)
		is.True(last > time.Second) // the starts did wait
		is.True(last <= testEvacuationDelay-startMargin)
	})
}

// An agent that is paused before it executes an order must not trust, when it wakes, what
// it knew of the zone before.
func TestPausedAgentReadsEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, s := newZonedAgent(t, false)
		r := testReply(testOrder(1, job.OrderStart))
		f := ageOf(0, false)
		r.Freshness = &f
		orders, _ := a.state.applyReply(r, time.Now(), time.Now())
		s.Put(platform.EvacuationKey("a"), []byte("{}"))
		time.Sleep(10 * time.Second)
		// A reply renews the orders, but not the knowledge of the zone.
		r, f = testReply(), ageOf(10*time.Second, false)
		r.Freshness = &f
		a.apply(r)
		a.enqueueOrders(orders, 1)
		time.Sleep(time.Second)
		is.New(t).True(a.worker.first(job.OrderStart, orders[0].Task).IsZero())
	})
}

// A replaced owner that does not know it may order starts while its knowledge of the zones
// ages. The agent learns of its successor when it reads them.
func TestReplacedOwnerOrdersStartInZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, s := newZonedAgent(t, false)
		putOwner(t, s, 2)
		a.receiveStart(testTask(1), ageOf(4500*time.Millisecond, false))
		time.Sleep(time.Second)
		is := is.New(t)
		is.True(a.worker.first(job.OrderStart, testTask(1)).IsZero())
		is.Equal(a.state.report("agent", false, time.Now()).Epoch, int64(2))
	})
}

// What the agent knows of its zone outlives the owner that told it: the successor may not
// have read the evacuations yet while the store serves nobody.
func TestZoneKnowledgeOutlivesOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, s := newZonedAgent(t, false)
		f := ageOf(0, true)
		r := testReply()
		r.Freshness = &f
		a.apply(r)
		s.SetFaults(fleet.StoreFaults{Down: true})
		a.state.enterEpoch(2)
		r, f = testReply(testOrder(1, job.OrderStart)), ageOf(1<<63-1, false)
		r.Epoch, r.Freshness = 2, &f
		a.apply(r)
		time.Sleep(time.Second)
		is.New(t).True(a.worker.first(job.OrderStart, r.Orders[0].Task).IsZero())
	})
}

// A refused start is told to the owner with its reason, and of two replies the one with
// the newer knowledge counts. A worker that appears in another zone is not judged by the
// zone before.
func TestZoneKnowledge(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var z zoneKnowledge
	newer, older := ageOf(time.Second, true), ageOf(2*time.Second, false)
	z.apply(&newer, now, now)
	z.apply(&older, now, now)
	is.Equal(z, zoneKnowledge{knownAt: now.Add(-time.Second), evacuated: true})
	is.Equal(z.permit(4*time.Second, now), startEvacuated)
	is.Equal(z.permit(4*time.Second, now.Add(4*time.Second)), startUnconfirmed)
	is.Equal(z.permit(0, now), startPermitted)

	s, w, _ := newTestState(t)
	s.zone = z
	w.Zone, w.Sequence = "b", 2
	sent := time.Now()
	s.receiveHeartbeat(w, sent)
	is.Equal(s.zone, z) // it may be from another writer
	w.Sequence = 3
	s.receiveHeartbeat(w, sent.Add(repeatInterval))
	is.Equal(s.zone, zoneKnowledge{})
	s.zone = z
	w.Zone, w.Sequence, w.Incarnation = "c", 1, w.Incarnation+1
	s.applyHeartbeat(w)
	is.Equal(s.zone, zoneKnowledge{})
}

// Without the bound in the settings, the agent reads no evacuations and obeys none.
func TestNoEvacuationWithoutBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(t, false)
		a.useStore(t).Put(platform.EvacuationKey(""), nil)
		is.Equal(a.readEvacuations(t.Context()), nil)
		a.receiveStart(testTask(1), ageOf(time.Hour, true))
		time.Sleep(time.Second)
		is.True(!a.worker.first(job.OrderStart, testTask(1)).IsZero())
	})
}

// A reply with an impossible age must not make what the agent knows of its zone newer than
// the reply, as an evacuation that follows would then go unnoticed.
func TestZoneKnowledgeIsNotFromTheFuture(t *testing.T) {
	is := is.New(t)
	sentAt := time.Unix(1000, 0)
	now := sentAt.Add(100 * time.Millisecond)
	future, none := -time.Hour, time.Duration(0)
	for _, f := range []job.Freshness{
		{Held: time.Hour}, {Held: time.Hour, EvacuationsAge: &none}, {EvacuationsAge: &future},
	} {
		var z zoneKnowledge
		z.apply(&f, sentAt, now)
		is.True(!z.knownAt.After(now))
	}
}
