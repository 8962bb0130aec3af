package peer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemarygap/io/golden"
)

func TestMain(m *testing.M) { golden.FixSeed(m, "") }

const (
	simStep     = 100 * time.Millisecond
	simSlots    = 8
	simLeaseTTL = 5 * time.Second
	// simMaxRequestDuration is the maximum duration of a request.
	simMaxRequestDuration = 1500 * time.Millisecond
)

// simEntry is one simulated entry with its load on the only endpoint.
type simEntry struct {
	roster                      *Roster
	self                        Member
	load                        *simLoad
	paused, dead                bool
	leaseEnd                    time.Time
	revision, seenEvents        int64
	registered                  bool
	sharesValidUntil            time.Time
	lastExchange, lastKeepAlive time.Time
}

type simLoad struct{ limit, inFlight int }

type simEvent struct {
	member  Member
	removed bool
}

type simRequest struct {
	by   *simEntry
	ends time.Time
}

// simulation models a store, several entries and one endpoint.
type simulation struct {
	t                *rapid.T
	now              time.Time
	entries          []*simEntry
	events           []simEvent
	storeDown        bool
	running          []simRequest
	delayedResponses []func()
	startedEntries   int
	faults           []string
}

func (s *simulation) recordFault(fault string, e *simEntry) {
	if e != nil {
		fault += " " + e.self.ID
	}
	s.faults = append(s.faults, fmt.Sprintf("%v %s", s.now.Sub(time.Unix(0, 0)), fault))
}

func (s *simulation) start() {
	s.startedEntries++
	m := Member{ID: fmt.Sprintf("entry-%d", s.startedEntries), Incarnation: int64(s.startedEntries)}
	e := &simEntry{self: m, load: &simLoad{}, roster: NewRoster(m, s.now)}
	for _, p := range s.live() {
		// While the store is down, a new entry knows only its configured peers.
		if !p.paused && s.storeDown {
			e.roster.RecordContact(p.self, s.now)
		}
	}
	s.entries = append(s.entries, e)
}

func (s *simulation) live() []*simEntry {
	var out []*simEntry
	for _, e := range s.entries {
		if !e.dead {
			out = append(out, e)
		}
	}
	return out
}

func (s *simulation) drawEntry() *simEntry {
	live := s.live()
	if len(live) == 0 {
		return nil
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(s.t, "entry")]
}

// kill terminates an entry. The endpoint ends its requests, as if it noticed the
// closed connections.
func (s *simulation) kill(e *simEntry) {
	e.dead = true
	var remaining []simRequest
	for _, q := range s.running {
		if q.by != e {
			remaining = append(remaining, q)
		}
	}
	s.running = remaining
}

func (e *simEntry) applyShares() { e.load.limit = e.roster.Share("endpoint", simSlots) }

func (e *simEntry) report() ShareReport {
	e.applyShares()
	var over []string
	if e.load.inFlight > e.load.limit {
		over = []string{"endpoint"}
	}
	return e.roster.Report(over)
}

// sendExchange sends a request that may be lost. Its response may be delayed or
// lost.
func (s *simulation) sendExchange(e *simEntry, to Member) {
	sentAt := s.now
	for _, p := range s.live() {
		if p.self != to || p.paused || rapid.IntRange(0, 9).Draw(s.t, "lost") == 0 {
			continue
		}
		// The control goroutine calls Tick before it handles a message.
		p.roster.Tick(s.now)
		p.roster.RecordContact(e.self, s.now)
		report, rows := p.report(), p.roster.Rows(s.now)
		deliver := func() {
			if e.dead || e.paused {
				return
			}
			for _, row := range rows {
				e.roster.Merge(row, sentAt, s.now)
			}
			e.roster.RecordResponse(p.self.ID, report, sentAt, s.now)
			e.applyShares()
		}
		if rapid.IntRange(0, 4).Draw(s.t, "late") > 0 {
			deliver()
		} else {
			s.delayedResponses = append(s.delayedResponses, deliver)
		}
	}
}

// watch delivers to an entry the store's events that it has not seen, unless the
// watch is delayed.
func (s *simulation) watch(e *simEntry) {
	if s.storeDown || rapid.IntRange(0, 3).Draw(s.t, "watch") == 0 {
		return
	}
	for e.seenEvents < int64(len(s.events)) {
		ev := s.events[e.seenEvents]
		e.seenEvents++
		if ev.removed {
			e.roster.Remove(ev.member.ID, e.seenEvents, s.now)
		} else {
			e.roster.Merge(RosterRow{Member: ev.member, Revision: e.seenEvents}, s.now, s.now)
		}
	}
	if e.registered && e.seenEvents >= e.revision {
		e.roster.MarkLoaded(s.now)
	}
}

func (s *simulation) keepAlive(e *simEntry) {
	if s.storeDown || s.now.Sub(e.lastKeepAlive) < simLeaseTTL/3 {
		return
	}
	e.lastKeepAlive = s.now
	if e.registered && s.now.Before(e.leaseEnd) {
		e.roster.ConfirmMembership(s.now)
	} else {
		s.events = append(s.events, simEvent{member: e.self})
		e.registered, e.revision = true, int64(len(s.events))
		e.roster.RecordRegistration(s.now, s.now)
	}
	e.leaseEnd = s.now.Add(simLeaseTTL)
}

// expireLeases ends the registrations whose leases have expired.
func (s *simulation) expireLeases() {
	for _, e := range s.entries {
		if !s.storeDown && e.registered && !s.now.Before(e.leaseEnd) {
			e.registered = false
			s.events = append(s.events, simEvent{e.self, true})
		}
	}
}

func (s *simulation) tick(e *simEntry) {
	if e.roster.Tick(s.now) {
		e.lastExchange = time.Time{}
	}
	s.keepAlive(e)
	s.watch(e)
	e.applyShares()
	if s.now.Sub(e.lastExchange) >= 500*time.Millisecond {
		e.lastExchange = s.now
		for _, m := range e.roster.Peers() {
			s.sendExchange(e, m)
		}
	}
	e.sharesValidUntil = e.roster.SharesValidUntil(s.now)
}

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	delayed := s.delayedResponses
	s.delayedResponses = nil
	for _, f := range delayed {
		f()
	}
	var remaining []simRequest
	for _, q := range s.running {
		if s.now.Before(q.ends) {
			remaining = append(remaining, q)
		}
	}
	s.running = remaining
	s.expireLeases()
	for _, e := range s.live() {
		if !e.paused {
			e.load.inFlight = 0
			for _, q := range s.running {
				if q.by == e {
					e.load.inFlight++
				}
			}
			s.tick(e)
		}
	}
}

// fillSlots starts as many requests at an entry as its share allows.
func (s *simulation) fillSlots(e *simEntry) {
	for !e.paused && s.now.Before(e.sharesValidUntil) && e.load.inFlight < e.load.limit {
		e.load.inFlight++
		d := time.Duration(rapid.IntRange(1, int(simMaxRequestDuration/simStep)).Draw(s.t, "takes")) * simStep
		s.running = append(s.running, simRequest{e, s.now.Add(d)})
	}
}

func (s *simulation) check() {
	if len(s.running) > simSlots {
		s.t.Fatalf("%d requests in progress at an endpoint with %d slots at %v: %s", len(s.running), simSlots,
			s.now.Sub(time.Unix(0, 0)), s)
	}
}

func (s *simulation) String() string {
	out := fmt.Sprintf("%v ", s.faults)
	for _, e := range s.live() {
		out += fmt.Sprintf("[%s paused=%v limit=%d in-flight=%d members=%v] ", e.self.ID, e.paused,
			e.load.limit, e.load.inFlight, e.roster.MemberIDs())
	}
	return out
}

// advance simulates a duration in which every entry uses its whole share.
func (s *simulation) advance(d time.Duration) {
	for range d / simStep {
		for _, e := range s.live() {
			s.fillSlots(e)
			s.check()
		}
		s.step()
	}
}

// endFaults ends all faults, advances the time by the limit for an agreement, and returns
// the sum of the shares.
func (s *simulation) endFaults() int {
	s.storeDown = false
	for _, e := range s.live() {
		e.paused = false
	}
	s.advance(simLeaseTTL + 2*RemovalDelay + 5*time.Second)
	total := 0
	for _, e := range s.live() {
		total += e.load.limit
	}
	return total
}

// TestEntriesTogetherNeverExceedSlots checks that the entries never exceed an
// endpoint's slots in total while entries join, crash, pause, resume and stop, the
// store is down, and messages are lost or delayed. After the faults end, the shares
// must add up to all slots.
func TestEntriesTogetherNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: time.Unix(0, 0)}
		for range rapid.IntRange(1, 4).Draw(t, "entries") {
			s.start()
		}
		s.advance(5 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			e := s.drawEntry()
			fault := rapid.SampledFrom([]string{"join", "kill", "pause", "resume", "toggle store", "stop"}).Draw(t, "fault")
			s.recordFault(fault, e)
			switch fault {
			case "join":
				if len(s.live()) < 10 {
					s.start()
				}
			case "kill":
				if e != nil && len(s.live()) > 1 {
					s.kill(e)
				}
			case "pause":
				if e != nil {
					e.paused = true
				}
			case "resume":
				for _, e := range s.live() {
					e.paused = false
				}
			case "toggle store":
				s.storeDown = !s.storeDown
			case "stop":
				if e != nil && len(s.live()) > 1 && !s.storeDown && e.registered {
					s.kill(e)
					e.leaseEnd = s.now
				}
			}
			s.advance(time.Duration(rapid.IntRange(1, 120).Draw(t, "wait")) * simStep)
		}
		if got := s.endFaults(); got != simSlots {
			t.Fatalf("after all faults ended, the shares add up to %d of %d slots: %s", got, simSlots, s)
		}
	})
}

// TestSharesAddUpToSlots checks that the shares of any set add up to all slots, and
// that adding an entry increases no share.
func TestSharesAddUpToSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, slots := rapid.IntRange(1, 40).Draw(t, "entries"), rapid.IntRange(1, 64).Draw(t, "slots")
		key := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "endpoint")
		var names []string
		for i := range n + 1 {
			names = append(names, fmt.Sprintf("entry-%d", i))
		}
		total := 0
		for _, m := range names[:n] {
			share := Share(key, slots, m, names[:n])
			total += share
			if Share(key, slots, m, names) > share {
				t.Fatalf("the share of %s increases when an entry is added", m)
			}
		}
		if total != slots {
			t.Fatalf("the shares add up to %d of %d slots", total, slots)
		}
	})
}
