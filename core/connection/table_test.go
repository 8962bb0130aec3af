package connection

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	front = iota
	peer
	ready
	numListeners
)

var testLimits = Limits{Connections: 20, Bytes: 1000, ConnectionBytes: 10, BodyTimeout: 10 * time.Second, ResponseTimeout: 10 * time.Second}

func newTestTable() *Table { return NewTable(testLimits, 30, 30, 10) }

var start = time.Unix(0, 0)

// open opens a connection, for which there must be room.
func open(t *testing.T, x *Table, listener int, now time.Time) ID {
	t.Helper()
	id, v, _ := x.Open(listener, now)
	if v != Granted {
		t.Fatalf("a connection of listener %d gets verdict %d", listener, v)
	}
	return id
}

// The victims are, in this order, idle connections, unread responses, incomplete requests and
// held answers, the oldest of each first. A request that is handled is none.
func TestVictimsByStageAndAge(t *testing.T) {
	is := is.New(t)
	x := NewTable(Limits{Connections: 8, Bytes: 1000, ConnectionBytes: 1}, 100)
	var ids []ID
	for i, s := range []Stage{Handled, Held, Header, Body, Idle, Response, Idle, Response} {
		now := start.Add(time.Duration(i) * time.Millisecond)
		id := open(t, x, front, now)
		is.True(x.SetStage(id, s, now))
		ids = append(ids, id)
	}
	now := start.Add(StalledAfter + 6*time.Millisecond)
	var got []Victim
	for {
		_, verdict, victims := x.Open(front, now)
		if verdict == Refused {
			break
		}
		is.Equal(verdict, Wait)
		got = append(got, victims...)
		is.True(x.Close(victims[0].ID))
		id := open(t, x, front, now)
		is.True(x.SetStage(id, Handled, now))
	}
	// The second response has made progress within StalledAfter.
	is.Equal(got, []Victim{{ids[4], Idle}, {ids[6], Idle}, {ids[5], Response}, {ids[2], Header}, {ids[3], Body}, {ids[1], Held}})
}

// A connection that is the next victim itself is refused.
func TestOldestIncompleteRequestIsRefused(t *testing.T) {
	is := is.New(t)
	x := NewTable(Limits{Connections: 10, Bytes: 100, ConnectionBytes: 1}, 100)
	a, b := open(t, x, front, start), open(t, x, front, start)
	for _, id := range []ID{a, b} {
		is.True(x.SetStage(id, Body, start))
		v, _ := x.Reserve(id, 40, start)
		is.Equal(v, Granted)
	}
	v, victims := x.Reserve(a, 30, start)
	is.Equal(v, Refused)
	is.Equal(len(victims), 0)
	is.True(!x.SetStage(a, Handled, start))
	is.True(x.SetStage(b, Handled, start))
}

// A request that exceeds all that its listener may use closes no other connection.
func TestRequestBeyondAllRoomClosesNothing(t *testing.T) {
	is := is.New(t)
	x := newTestTable()
	a, b := open(t, x, front, start), open(t, x, front, start)
	is.True(x.SetStage(b, Body, start))
	v, victims := x.Reserve(a, 700, start)
	is.Equal(v, Exceeds)
	is.Equal(len(victims), 0)
	is.True(x.SetStage(b, Handled, start))
}

// A body or response without progress ends, one with progress doesn't.
func TestConnectionsWithoutProgressEnd(t *testing.T) {
	is := is.New(t)
	x := newTestTable()
	a, b, c, d := open(t, x, front, start), open(t, x, front, start), open(t, x, front, start), open(t, x, front, start)
	is.True(x.SetStage(a, Body, start))
	is.True(x.SetStage(b, Body, start))
	is.True(x.SetStage(c, Response, start))
	is.True(x.SetStage(d, Handled, start))
	x.Progress(b, start.Add(time.Second))
	got := x.Stalled(start.Add(testLimits.BodyTimeout))
	is.Equal(len(got), 2)
	is.True(got[0].ID != b && got[1].ID != b && got[0].ID != d && got[1].ID != d)
	is.Equal(len(x.Stalled(start.Add(testLimits.BodyTimeout))), 0)
	is.True(!x.SetStage(a, Handled, start))
}

// model repeats random operations and checks the invariants of Table after each.
type model struct {
	x       *Table
	now     time.Time
	stages  map[ID]Stage
	at      map[ID]int
	evicted map[ID]bool
}

func (m *model) evict(t *rapid.T, victims []Victim) {
	for _, v := range victims {
		if m.stages[v.ID] != v.Stage || m.evicted[v.ID] {
			t.Fatalf("victim %v is in stage %v, evicted %v", v, m.stages[v.ID], m.evicted[v.ID])
		}
		if v.Stage == Handled {
			t.Fatalf("victim %d is being handled", v.ID)
		}
		m.evicted[v.ID] = true
	}
}

// incomplete reports whether there is an incomplete request of the listener.
func (m *model) incomplete(listener int) bool {
	for id, s := range m.stages {
		if s.class() == classIncomplete && !m.evicted[id] && m.at[id] == listener {
			return true
		}
	}
	return false
}

func (m *model) check(t *rapid.T) {
	connections, bytes := 0, int64(0)
	unused := use{}
	for i := range numListeners {
		n, b := m.x.Use(i)
		connections, bytes = connections+n, bytes+b
		l := &m.x.listeners[i]
		unused.add(l.guaranteed.minus(l.used).positive())
		var queued, leaving use
		for _, c := range m.x.connections {
			switch {
			case c.listener != i:
			case c.evicted:
				leaving.add(use{1, c.bytes})
			case c.stage.class() != classNone:
				queued.add(use{1, c.bytes})
			}
		}
		if queued != l.queued || leaving != l.leaving {
			t.Fatalf("listener %d has queued %v instead of %v, leaving %v instead of %v", i, l.queued, queued, l.leaving, leaving)
		}
	}
	if connections+unused.connections > testLimits.Connections || bytes+unused.bytes > testLimits.Bytes {
		t.Fatalf("%d connections and %d bytes, with %v guaranteed beside", connections, bytes, unused)
	}
	if connections != len(m.stages) {
		t.Fatalf("%d connections instead of %d", connections, len(m.stages))
	}
}

// Whatever clients do, the limits hold, each listener can use its guaranteed share, a handled
// request is no victim, and a new connection is not refused while an incomplete request of
// its listener holds room.
func TestLimitsAndGuaranteesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{x: newTestTable(), now: start, stages: map[ID]Stage{}, at: map[ID]int{}, evicted: map[ID]bool{}}
		pick := func(t *rapid.T) ID {
			ids := make([]ID, 0, len(m.stages))
			for id := range m.x.lastID {
				if _, ok := m.stages[id+1]; ok {
					ids = append(ids, id+1)
				}
			}
			if len(ids) == 0 {
				t.Skip("no connection")
			}
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				l := rapid.IntRange(0, numListeners-1).Draw(t, "listener")
				n, bytes := m.x.Use(l)
				g := m.x.listeners[l].guaranteed
				incomplete := m.incomplete(l)
				id, verdict, victims := m.x.Open(l, m.now)
				m.evict(t, victims)
				switch {
				case verdict == Granted:
					m.stages[id], m.at[id] = Header, l
				case n < g.connections && bytes+testLimits.ConnectionBytes <= g.bytes:
					t.Fatalf("listener %d with %d connections and %d bytes gets verdict %d", l, n, bytes, verdict)
				case incomplete && verdict == Refused && n >= g.connections:
					t.Fatalf("a new connection is refused beside incomplete requests")
				}
			},
			"reserve": func(t *rapid.T) {
				id := pick(t)
				n := rapid.Int64Range(1, 900).Draw(t, "bytes")
				verdict, victims := m.x.Reserve(id, n, m.now)
				m.evict(t, victims)
				if !m.evicted[id] && verdict == Refused && m.x.connections[id].evicted {
					m.evict(t, []Victim{{id, m.stages[id]}})
				}
			},
			"release": func(t *rapid.T) {
				id := pick(t)
				m.x.Release(id, rapid.Int64Range(0, 900).Draw(t, "bytes"))
				if m.x.connections[id].bytes < testLimits.ConnectionBytes {
					t.Fatalf("connection %d holds %d bytes", id, m.x.connections[id].bytes)
				}
			},
			"stage": func(t *rapid.T) {
				id := pick(t)
				s := rapid.SampledFrom(Stages()).Draw(t, "stage")
				if m.x.SetStage(id, s, m.now) == m.evicted[id] {
					t.Fatalf("stage of %d is set although it is evicted, or not", id)
				}
				if !m.evicted[id] {
					m.stages[id] = s
				}
			},
			"progress": func(t *rapid.T) { m.x.Progress(pick(t), m.now) },
			"close": func(t *rapid.T) {
				id := pick(t)
				m.x.Close(id)
				delete(m.stages, id)
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
				m.evict(t, m.x.Stalled(m.now))
			},
			"": m.check,
		})
	})
}
