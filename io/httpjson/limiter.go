package httpjson

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"rosemarygap/core/connection"
	"rosemarygap/core/event"
	"rosemarygap/core/status"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
)

const (
	// roomWait is the longest wait for the room of connections that are being closed, and
	// acceptWait that of a new connection.
	roomWait   = time.Second
	acceptWait = 100 * time.Millisecond
	// overloadRetry is the delay after which a refused client should retry.
	overloadRetry = time.Second
	// refusalTimeout is the longest time to write a refusal, and lingerTimeout how long the
	// rest of a refused request is read, since unread bytes reset a connection when it is
	// closed and the client may not get the refusal.
	refusalTimeout = time.Second
	lingerTimeout  = 250 * time.Millisecond
	// minBacklog and maxBacklog bound the number of connections that wait to be accepted.
	minBacklog = 128
	maxBacklog = 4096
	// backlogDivisor is the part of all connections that may wait to be accepted.
	backlogDivisor = 4
	// maxLingering is the maximum number of refused requests whose rest is read.
	maxLingering = 16
	// sweepInterval is the time between two checks for connections without progress.
	sweepInterval = time.Second
)

// errOverloaded is the refusal of a request for which there is no room.
var errOverloaded = status.RetryIn(status.ErrOverloaded, overloadRetry)

// Share is the part of a Limiter that is guaranteed to the listener with the given name.
type Share struct {
	Listener string
	Percent  int
}

// Limiter bounds what the connections of several listeners hold together. It closes
// connections and refuses requests as package connection decides. A request whose header has
// not been read gets no response: it may repeat an earlier one that has had an effect, and
// only its handler knows what a refusal promises.
type Limiter struct {
	log       hclog.Logger
	listeners map[string]int
	names     []string
	// backlog is the number of connections that may wait to be accepted at a listener. What
	// they have sent is unread in the kernel.
	backlog int

	mu          sync.Mutex
	table       *connection.Table
	connections map[connection.ID]*conn
	// lingering is the number of connections that no longer count and whose rest is read.
	lingering int
	// released is closed when room is released, if waiting says that someone waits for it.
	released chan struct{}
	waiting  bool
	// closed and refused count since the last log line, by listener.
	closed, refused []int
}

// NewLimiter returns a Limiter for the listeners with the given shares.
func NewLimiter(limits connection.Limits, l hclog.Logger, shares ...Share) *Limiter {
	out := &Limiter{log: l, listeners: map[string]int{}, connections: map[connection.ID]*conn{},
		released: make(chan struct{}), closed: make([]int, len(shares)), refused: make([]int, len(shares))}
	out.backlog = min(maxBacklog, max(minBacklog, min(limits.Connections, int(limits.Bytes/limits.ConnectionBytes))/backlogDivisor))
	var percents []int
	for i, s := range shares {
		out.listeners[s.Listener] = i
		out.names = append(out.names, s.Listener)
		percents = append(percents, s.Percent)
		metrics.GetOrCreateGauge(fmt.Sprintf(`rosemarygap_client_connections{listener=%q}`, s.Listener), func() float64 {
			n, _ := out.use(i)
			return float64(n)
		})
		metrics.GetOrCreateGauge(fmt.Sprintf(`rosemarygap_client_bytes{listener=%q}`, s.Listener), func() float64 {
			_, n := out.use(i)
			return float64(n)
		})
	}
	out.table = connection.NewTable(limits, percents...)
	return out
}

func (l *Limiter) use(listener int) (connections int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Use(listener)
}

// Run closes connections without progress until ctx ends, and logs what was closed and
// refused.
func (l *Limiter) Run(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			l.sweep()
		}
	}
}

func (l *Limiter) sweep() {
	l.mu.Lock()
	victims := l.evict(l.table.Stalled(time.Now()), reasonStalled)
	closed, refused, most := 0, 0, 0
	for i := range l.names {
		closed, refused = closed+l.closed[i], refused+l.refused[i]
		if l.closed[i]+l.refused[i] > l.closed[most]+l.refused[most] {
			most = i
		}
	}
	connections, _ := l.table.Use(most)
	clear(l.closed)
	clear(l.refused)
	l.mu.Unlock()
	closeAll(victims)
	if closed+refused > 0 {
		event.ConnectionsClosed.Emit(l.log, event.Listener(l.names[most]), event.Closed(closed),
			event.Refused(refused), event.Count(connections))
	}
}

// Reasons for closing a connection or refusing a request.
const (
	reasonRoom    = "room"
	reasonStalled = "stalled"
)

// evict marks the victims and returns their connections, which the caller closes with
// closeAll after it has released l.mu, which it holds.
func (l *Limiter) evict(victims []connection.Victim, reason string) []*conn {
	var out []*conn
	for _, v := range victims {
		c := l.connections[v.ID]
		c.evictedIn = v.Stage
		l.closed[c.listener]++
		metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_client_connections_closed_total{listener=%q,stage=%q,reason=%q}`,
			l.names[c.listener], v.Stage, reason)).Inc()
		out = append(out, c)
	}
	return out
}

func closeAll(victims []*conn) {
	for _, c := range victims {
		c.interrupt()
	}
}

// countRefused counts a refusal for lack of room. The caller holds l.mu.
func (l *Limiter) countRefused(listener int) {
	l.refused[listener]++
	metrics.GetOrCreateCounter(fmt.Sprintf(`rosemarygap_client_refusals_total{listener=%q}`, l.names[listener])).Inc()
}

// take calls ask until it is granted room. While connections are being closed for it, it
// waits for at most wait. The caller doesn't hold l.mu, which is held during ask.
func (l *Limiter) take(listener int, wait time.Duration, ask func(now time.Time) (connection.Verdict, []connection.Victim)) error {
	var timeout <-chan time.Time
	for {
		l.mu.Lock()
		verdict, victims := ask(time.Now())
		evicted := l.evict(victims, reasonRoom)
		released := l.released
		l.waiting = l.waiting || verdict == connection.Wait
		if verdict == connection.Refused || verdict == connection.Exceeds {
			l.countRefused(listener)
		}
		l.mu.Unlock()
		closeAll(evicted)
		switch verdict {
		case connection.Granted:
			return nil
		case connection.Refused:
			return errOverloaded
		case connection.Exceeds:
			return status.ErrBodyTooLarge
		}
		if timeout == nil {
			t := time.NewTimer(wait)
			defer t.Stop()
			timeout = t.C
		}
		select {
		case <-released:
		case <-timeout:
			l.mu.Lock()
			l.countRefused(listener)
			l.mu.Unlock()
			return errOverloaded
		}
	}
}

// wakeWaiters wakes those who wait for room. The caller holds l.mu.
func (l *Limiter) wakeWaiters() {
	if l.waiting {
		close(l.released)
		l.released, l.waiting = make(chan struct{}), false
	}
}

// open admits a new connection of a listener.
func (l *Limiter) open(listener int, inner net.Conn) (*conn, error) {
	c := &conn{Conn: inner, limiter: l, listener: listener, stage: connection.Header}
	err := l.take(listener, acceptWait, func(now time.Time) (connection.Verdict, []connection.Victim) {
		id, verdict, victims := l.table.Open(listener, now)
		if verdict == connection.Granted {
			c.id = id
			l.connections[id] = c
		}
		return verdict, victims
	})
	if err != nil {
		return nil, err
	}
	return c, nil
}

// limitedListener is a net.Listener whose connections a Limiter bounds.
type limitedListener struct {
	net.Listener
	limiter *Limiter
	number  int
}

// Accept returns the next connection for which there is room. It closes the others.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, err := l.limiter.open(l.number, inner)
		if err == nil {
			return c, nil
		}
		_ = inner.Close()
	}
}
