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
	simStep  = 100 * time.Millisecond
	simSlots = 8
	simTTL   = 5 * time.Second
	// simLongest is the longest request of the model.
	simLongest = 1500 * time.Millisecond
)

// simEntry is one entry of the model with its requests at the one endpoint.
type simEntry struct {
	roster           *Roster
	self             Member
	load             *simLoad
	frozen, dead     bool
	lease            time.Time
	revision, seen   int64
	registered       bool
	gate             time.Time
	asked, keptAlive time.Time
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

// simulation is a store, some entries and one endpoint.
type simulation struct {
	t         *rapid.T
	now       time.Time
	entries   []*simEntry
	log       []simEvent
	storeDown bool
	running   []simRequest
	answers   []func()
	started   int
	history   []string
}

func (s *simulation) note(fault string, e *simEntry) {
	if e != nil {
		fault += " " + e.self.ID
	}
	s.history = append(s.history, fmt.Sprintf("%v %s", s.now.Sub(time.Unix(0, 0)), fault))
}

func (s *simulation) start() {
	s.started++
	m := Member{ID: fmt.Sprintf("entry-%d", s.started), Incarnation: int64(s.started)}
	e := &simEntry{self: m, load: &simLoad{}, roster: NewRoster(m, s.now)}
	for _, p := range s.live() {
		if !p.frozen && s.storeDown {
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

func (s *simulation) pick() *simEntry {
	live := s.live()
	if len(live) == 0 {
		return nil
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(s.t, "entry")]
}

// kill ends an entry; the endpoint notices that its connections closed.
func (s *simulation) kill(e *simEntry) {
	e.dead = true
	var left []simRequest
	for _, q := range s.running {
		if q.by != e {
			left = append(left, q)
		}
	}
	s.running = left
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

// ask sends a question that may be lost; its answer may come late or never.
func (s *simulation) ask(e *simEntry, to Member) {
	asked := s.now
	for _, p := range s.live() {
		if p.self != to || p.frozen || rapid.IntRange(0, 9).Draw(s.t, "lost") == 0 {
			continue
		}
		// The control goroutine looks at the clock before each message.
		p.roster.Tick(s.now)
		p.roster.RecordContact(e.self, s.now)
		rep, rows := p.report(), p.roster.Rows(s.now)
		answer := func() {
			if e.dead || e.frozen {
				return
			}
			for _, row := range rows {
				e.roster.Merge(row, asked, s.now)
			}
			e.roster.RecordResponse(p.self.ID, rep, asked, s.now)
			e.applyShares()
		}
		if rapid.IntRange(0, 4).Draw(s.t, "late") > 0 {
			answer()
		} else {
			s.answers = append(s.answers, answer)
		}
	}
}

// watch gives an entry some of the store's events that it has not seen.
func (s *simulation) watch(e *simEntry) {
	if s.storeDown || rapid.IntRange(0, 3).Draw(s.t, "watch") == 0 {
		return
	}
	for e.seen < int64(len(s.log)) {
		ev := s.log[e.seen]
		e.seen++
		if ev.removed {
			e.roster.Remove(ev.member.ID, e.seen, s.now)
		} else {
			e.roster.Merge(RosterRow{Member: ev.member, Revision: e.seen}, s.now, s.now)
		}
	}
	if e.registered && e.seen >= e.revision {
		e.roster.MarkLoaded(s.now)
	}
}

func (s *simulation) keepAlive(e *simEntry) {
	if s.storeDown || s.now.Sub(e.keptAlive) < simTTL/3 {
		return
	}
	e.keptAlive = s.now
	if e.registered && s.now.Before(e.lease) {
		e.roster.ConfirmMembership(s.now)
	} else {
		s.log = append(s.log, simEvent{member: e.self})
		e.registered, e.revision = true, int64(len(s.log))
		e.roster.RecordRegistration(s.now, s.now)
	}
	e.lease = s.now.Add(simTTL)
}

// expireLeases lets the store end registrations.
func (s *simulation) expireLeases() {
	for _, e := range s.entries {
		if !s.storeDown && e.registered && !s.now.Before(e.lease) {
			e.registered = false
			s.log = append(s.log, simEvent{e.self, true})
		}
	}
}

func (s *simulation) tick(e *simEntry) {
	if e.roster.Tick(s.now) {
		e.asked = time.Time{}
	}
	s.keepAlive(e)
	s.watch(e)
	e.applyShares()
	if s.now.Sub(e.asked) >= 500*time.Millisecond {
		e.asked = s.now
		for _, m := range e.roster.Peers() {
			s.ask(e, m)
		}
	}
	e.gate = e.roster.SharesValidUntil(s.now)
}

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	late := s.answers
	s.answers = nil
	for _, f := range late {
		f()
	}
	var left []simRequest
	for _, q := range s.running {
		if s.now.Before(q.ends) {
			left = append(left, q)
		}
	}
	s.running = left
	s.expireLeases()
	for _, e := range s.live() {
		if !e.frozen {
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

// send takes slots at an entry as traffic goroutines do.
func (s *simulation) send(e *simEntry) {
	for !e.frozen && s.now.Before(e.gate) && e.load.inFlight < e.load.limit {
		e.load.inFlight++
		d := time.Duration(rapid.IntRange(1, int(simLongest/simStep)).Draw(s.t, "takes")) * simStep
		s.running = append(s.running, simRequest{e, s.now.Add(d)})
	}
}

func (s *simulation) check() {
	if len(s.running) > simSlots {
		s.t.Fatalf("%d requests at an endpoint of %d slots at %v: %s", len(s.running), simSlots,
			s.now.Sub(time.Unix(0, 0)), s)
	}
}

func (s *simulation) String() string {
	out := fmt.Sprintf("%v ", s.history)
	for _, e := range s.live() {
		out += fmt.Sprintf("[%s frozen=%v limit=%d in-flight=%d counts %v] ", e.self.ID, e.frozen,
			e.load.limit, e.load.inFlight, e.roster.MemberIDs())
	}
	return out
}

// advance lets time pass with every entry sending all that it may.
func (s *simulation) advance(d time.Duration) {
	for range d / simStep {
		for _, e := range s.live() {
			s.send(e)
			s.check()
		}
		s.step()
	}
}

// heal ends all faults and returns the slots in use after the time in which
// the entries must have agreed.
func (s *simulation) heal() int {
	s.storeDown = false
	for _, e := range s.live() {
		e.frozen = false
	}
	s.advance(simTTL + 2*RemovalDelay + 5*time.Second)
	total := 0
	for _, e := range s.live() {
		total += e.load.limit
	}
	return total
}

// All entries together never exceed an endpoint's slots while entries join,
// die, freeze, wake and stop, the store goes down, and messages are lost or
// late; and when that ends they use all slots.
func TestEntriesTogetherNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: time.Unix(0, 0)}
		for range rapid.IntRange(1, 4).Draw(t, "entries") {
			s.start()
		}
		s.advance(5 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			e := s.pick()
			fault := rapid.SampledFrom([]string{"join", "kill", "freeze", "wake", "store", "stop"}).Draw(t, "fault")
			s.note(fault, e)
			switch fault {
			case "join":
				if len(s.live()) < 10 {
					s.start()
				}
			case "kill":
				if e != nil && len(s.live()) > 1 {
					s.kill(e)
				}
			case "freeze":
				if e != nil {
					e.frozen = true
				}
			case "wake":
				for _, e := range s.live() {
					e.frozen = false
				}
			case "store":
				s.storeDown = !s.storeDown
			case "stop":
				if e != nil && len(s.live()) > 1 && !s.storeDown && e.registered {
					s.kill(e)
					e.lease = s.now
				}
			}
			s.advance(time.Duration(rapid.IntRange(1, 120).Draw(t, "wait")) * simStep)
		}
		if got := s.heal(); got != simSlots {
			t.Fatalf("the entries together use %d of %d slots: %s", got, simSlots, s)
		}
	})
}

// The shares of any set are all slots, and adding an entry raises none.
func TestSharesAreAllSlots(t *testing.T) {
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
				t.Fatalf("the share of %s rises when an entry is added", m)
			}
		}
		if total != slots {
			t.Fatalf("shares add up to %d of %d", total, slots)
		}
	})
}
