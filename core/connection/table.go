// Package connection decides what the client connections of a process may hold together,
// and which of them to close when there is no room.
//
// Invariant: connections and bytes never exceed the Limits, those of connections that are
// being closed included, and each listener can always use what it is guaranteed. A
// request that has arrived completely and is being handled is never a victim. The owner of
// a Table calls it from one goroutine at a time.
package connection

import (
	"container/list"
	"time"
)

// StalledAfter is the time without progress after which a response counts as unread.
const StalledAfter = time.Second

// ID identifies a connection.
type ID uint64

// Stage is what a connection is doing.
type Stage int

// Stages of a connection.
const (
	// Idle means that a request has been answered and no other has begun.
	Idle Stage = iota
	// Header means that the connection is new, or that a part of a request's header has
	// arrived. A new connection is not idle: its client is about to send.
	Header
	// Body means that the header has arrived and the body has not arrived completely.
	Body
	// Handled means that the request has arrived completely and is being handled.
	Handled
	// Response means that a part of the response is being written.
	Response
	// Held means that a complete request waits for something to tell its client. It has no
	// effect and may be answered at any time.
	Held
)

// String returns the name of the stage in metrics.
func (s Stage) String() string {
	return [...]string{"idle", "header", "body", "handled", "response", "held"}[s]
}

// Stages returns all stages.
func Stages() []Stage { return []Stage{Idle, Header, Body, Handled, Response, Held} }

// class is a kind of victims. Those of a lower class are closed first.
type class int

const (
	classIdle class = iota
	classResponse
	classIncomplete
	classHeld
	numClasses
	classNone class = -1
)

func (s Stage) class() class {
	switch s {
	case Idle:
		return classIdle
	case Response:
		return classResponse
	case Header, Body:
		return classIncomplete
	case Held:
		return classHeld
	default:
		return classNone
	}
}

// Limits are what all connections of a process may hold together.
type Limits struct {
	Connections int
	// Bytes is the memory that all connections may hold.
	Bytes int64
	// ConnectionBytes is the part of Bytes that each connection holds from its start.
	ConnectionBytes int64
	// BodyTimeout and ResponseTimeout are the longest times without progress of a body
	// that arrives and of a response that is written.
	BodyTimeout, ResponseTimeout time.Duration
}

// Verdict is the decision about a request for room.
type Verdict int

// Verdicts about a request for room.
const (
	// Granted means that the room is taken.
	Granted Verdict = iota
	// Wait means that connections are being closed. The request is to be repeated when one
	// of them has ended.
	Wait
	// Refused means that there is no room and no connection to close for it.
	Refused
	// Exceeds means that the connection alone would exceed all that its listener may use.
	Exceeds
)

// Victim is a connection to close, and the stage it was in.
type Victim struct {
	ID    ID
	Stage Stage
}

// use is an amount of connections and bytes.
type use struct {
	connections int
	bytes       int64
}

func (u *use) add(o use) { u.connections += o.connections; u.bytes += o.bytes }

func (u use) minus(o use) use { return use{u.connections - o.connections, u.bytes - o.bytes} }

// positive returns u with negative amounts replaced by 0.
func (u use) positive() use { return use{max(0, u.connections), max(0, u.bytes)} }

func (u use) isZero() bool { return u == use{} }

type connection struct {
	listener int
	stage    Stage
	bytes    int64
	// progressAt is when a byte was last received or sent.
	progressAt time.Time
	// evicted is true from the decision to close the connection until its end.
	evicted bool
	// element is the place in the queue of its class, or nil.
	element *list.Element
}

type listener struct {
	guaranteed use
	used       use
	// leaving is the part of used that evicted connections hold, and queued that of
	// possible victims.
	leaving, queued use
	// queues hold the IDs of possible victims by class, the first to close in front.
	queues [numClasses]list.List
}

// Table is the table of the connections of a process.
type Table struct {
	limits      Limits
	listeners   []listener
	used        use
	lastID      ID
	connections map[ID]*connection
}

// NewTable returns a table for listeners with the given guaranteed shares of the limits,
// in percent. Their sum is at most 100.
func NewTable(l Limits, percents ...int) *Table {
	t := &Table{limits: l, listeners: make([]listener, len(percents)), connections: map[ID]*connection{}}
	for i, p := range percents {
		t.listeners[i].guaranteed = use{l.Connections * p / 100, l.Bytes * int64(p) / 100}
	}
	return t
}

// Use returns the connections and bytes of a listener.
func (t *Table) Use(listener int) (connections int, bytes int64) {
	u := t.listeners[listener].used
	return u.connections, u.bytes
}

// room returns what the listener may use in addition.
func (t *Table) room(listener int) use {
	room := use{t.limits.Connections, t.limits.Bytes}.minus(t.used)
	for i := range t.listeners {
		if i != listener {
			l := &t.listeners[i]
			room = room.minus(l.guaranteed.minus(l.used).positive())
		}
	}
	return room
}

// most returns the most that the listener may use.
func (t *Table) most(listener int) use {
	most := use{t.limits.Connections, t.limits.Bytes}
	for i := range t.listeners {
		if i != listener {
			most = most.minus(t.listeners[i].guaranteed)
		}
	}
	return most
}

// Open adds a connection of the listener if there is room for it.
func (t *Table) Open(listener int, now time.Time) (ID, Verdict, []Victim) {
	need := use{1, t.limits.ConnectionBytes}
	verdict, victims := t.makeRoom(listener, 0, need, now)
	if verdict != Granted {
		return 0, verdict, victims
	}
	t.lastID++
	c := &connection{listener: listener, stage: Header, progressAt: now}
	t.connections[t.lastID] = c
	t.charge(c, need)
	t.enqueue(t.lastID, c)
	return t.lastID, Granted, nil
}

// Reserve adds n bytes to what a connection holds if there is room for them. The bytes are
// held until they are released or the connection becomes idle or ends.
func (t *Table) Reserve(id ID, n int64, now time.Time) (Verdict, []Victim) {
	c := t.connections[id]
	if c == nil || c.evicted {
		return Refused, nil
	}
	if c.bytes+n > t.most(c.listener).bytes {
		return Exceeds, nil
	}
	verdict, victims := t.makeRoom(c.listener, id, use{0, n}, now)
	if verdict == Granted {
		t.charge(c, use{0, n})
	}
	return verdict, victims
}

// Reserved returns the bytes that a connection holds beyond those from its start.
func (t *Table) Reserved(id ID) int64 {
	if c := t.connections[id]; c != nil {
		return c.bytes - t.limits.ConnectionBytes
	}
	return 0
}

// Release ends the reservation of n bytes, or of all that are reserved if these are fewer.
func (t *Table) Release(id ID, n int64) {
	if c := t.connections[id]; c != nil {
		t.charge(c, use{0, -min(n, c.bytes-t.limits.ConnectionBytes)})
	}
}

// SetStage records the stage of a connection. It reports false, and changes nothing, if the
// connection is to be closed.
func (t *Table) SetStage(id ID, s Stage, now time.Time) bool {
	c := t.connections[id]
	if c == nil || c.evicted {
		return false
	}
	c.progressAt = now
	old := c.stage
	if old.class() == s.class() && s != Idle {
		// A body keeps the place of its header: what counts is how long the request takes.
		c.stage = s
		return true
	}
	t.dequeue(c, old)
	c.stage = s
	if s == Idle {
		t.charge(c, use{0, t.limits.ConnectionBytes - c.bytes})
	}
	t.enqueue(id, c)
	return true
}

// Progress records that a byte was received or sent.
func (t *Table) Progress(id ID, now time.Time) {
	c := t.connections[id]
	if c == nil {
		return
	}
	c.progressAt = now
	if c.stage == Response && c.element != nil {
		t.queueOf(c, c.stage).MoveToBack(c.element)
	}
}

// Close removes a connection that has ended. It reports whether it released room.
func (t *Table) Close(id ID) bool {
	c := t.connections[id]
	if c == nil {
		return false
	}
	t.dequeue(c, c.stage)
	t.charge(c, use{-1, -c.bytes})
	delete(t.connections, id)
	return true
}

// Stalled returns the connections whose body or response made no progress for too long, and
// counts them as to be closed.
func (t *Table) Stalled(now time.Time) []Victim {
	var out []Victim
	for id, c := range t.connections {
		idle := now.Sub(c.progressAt)
		if !c.evicted && (c.stage == Body && idle >= t.limits.BodyTimeout || c.stage == Response && idle >= t.limits.ResponseTimeout) {
			out = append(out, t.evict(id, c))
		}
	}
	return out
}

// makeRoom decides about a request of a listener for room, for the connection id or for a new
// one if id is 0.
func (t *Table) makeRoom(listener int, id ID, need use, now time.Time) (Verdict, []Victim) {
	missing := need.minus(t.room(listener)).positive()
	if missing.isZero() {
		return Granted, nil
	}
	for i := range t.listeners {
		missing = missing.minus(t.listeners[i].leaving)
	}
	missing = missing.positive()
	if !missing.minus(t.evictable(listener, need)).positive().isZero() {
		return Refused, nil
	}
	var victims []Victim
	for !missing.isZero() {
		victim := t.nextVictim(listener, need, missing, now)
		if victim == 0 {
			return Refused, victims
		}
		c := t.connections[victim]
		v := t.evict(victim, c)
		if victim == id {
			return Refused, victims
		}
		victims = append(victims, v)
		missing = missing.minus(use{1, c.bytes}).positive()
	}
	return Wait, victims
}

// excess returns by how much listener i will exceed its guaranteed share when the evicted
// connections have ended and the listener has got what it needs.
func (t *Table) excess(i, listener int, need use) use {
	l := &t.listeners[i]
	excess := l.used.minus(l.leaving).minus(l.guaranteed)
	if i == listener {
		excess.add(need)
	}
	return excess.positive()
}

// evictable returns at least what all possible victims hold for a listener that needs room.
func (t *Table) evictable(listener int, need use) use {
	var sum use
	for i := range t.listeners {
		if !t.excess(i, listener, need).isZero() {
			sum.add(t.listeners[i].queued)
		}
	}
	return sum
}

// nextVictim returns the next connection to close for a listener that needs room and still
// misses a part of it, or 0 if there is none. The listener that exceeds its guaranteed share
// the most pays.
func (t *Table) nextVictim(listener int, need, missing use, now time.Time) (victim ID) {
	var most int64
	for i := range t.listeners {
		l := &t.listeners[i]
		excess := t.excess(i, listener, need)
		amount := excess.bytes
		if missing.connections > 0 {
			amount = int64(excess.connections)
		}
		if amount <= most {
			continue
		}
		if id := t.first(l, now); id != 0 {
			victim, most = id, amount
		}
	}
	return victim
}

// first returns the first possible victim of a listener, or 0.
func (t *Table) first(l *listener, now time.Time) ID {
	for class := range l.queues {
		e := l.queues[class].Front()
		if e == nil {
			continue
		}
		id := e.Value.(ID)
		if c := t.connections[id]; c.stage != Response || now.Sub(c.progressAt) >= StalledAfter {
			return id
		}
	}
	return 0
}

// evict counts a connection as to be closed.
func (t *Table) evict(id ID, c *connection) Victim {
	t.dequeue(c, c.stage)
	c.evicted = true
	t.listeners[c.listener].leaving.add(use{1, c.bytes})
	return Victim{id, c.stage}
}

// charge adds u to what the connection, its listener and the process hold.
func (t *Table) charge(c *connection, u use) {
	l := &t.listeners[c.listener]
	c.bytes += u.bytes
	l.used.add(u)
	t.used.add(u)
	switch {
	case c.evicted:
		l.leaving.add(u)
	case c.element != nil:
		l.queued.add(u)
	}
}

func (t *Table) queueOf(c *connection, s Stage) *list.List {
	if s.class() == classNone {
		return nil
	}
	return &t.listeners[c.listener].queues[s.class()]
}

func (t *Table) enqueue(id ID, c *connection) {
	if q := t.queueOf(c, c.stage); q != nil {
		c.element = q.PushBack(id)
		t.listeners[c.listener].queued.add(use{1, c.bytes})
	}
}

func (t *Table) dequeue(c *connection, s Stage) {
	if c.element != nil {
		t.queueOf(c, s).Remove(c.element)
		t.listeners[c.listener].queued = t.listeners[c.listener].queued.minus(use{1, c.bytes})
		c.element = nil
	}
}
