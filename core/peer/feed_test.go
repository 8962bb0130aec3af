package peer

import (
	"net/netip"
	"testing"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/wire"

	"pgregory.net/rapid"
)

const feedTTL = 2 * time.Second

// feedEntry is one entry's part of the membership.
type feedEntry struct {
	members *endpoint.Membership
	feed    *Feed[endpoint.Announcement]
	mirrors map[*feedEntry]*Mirror[endpoint.Announcement]
}

func (e *feedEntry) heard(a endpoint.Announcement, made, now time.Time) {
	e.members.Apply(a, now.Sub(made), now)
	e.note(a.ID)
}

func (e *feedEntry) note(id string) {
	if latest, made, ok := e.members.Latest(id); ok {
		latest.Uptime = 0
		e.feed.Put(id, latest, made)
	}
}

func (e *feedEntry) usable(now time.Time) bool {
	return len(e.members.View(now).Candidates("catalogue")) > 0
}

// delivery is a message that arrives later.
type delivery struct {
	at time.Time
	do func(now time.Time)
}

// Whatever messages are late, doubled or lost, an endpoint that stopped is out
// of use at every entry within its time to live, and while it lives and is
// heard, it is in use.
func TestNoMessageKeepsAnEndpointAlive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		now := start
		var entries []*feedEntry
		for i := range 3 {
			entries = append(entries, &feedEntry{members: endpoint.NewMembership(feedTTL),
				feed:    NewFeed(int64(i), func(a, b endpoint.Announcement) bool { return a.EqualExceptRefresh(b) }),
				mirrors: make(map[*feedEntry]*Mirror[endpoint.Announcement])})
		}
		for _, e := range entries {
			for _, to := range entries {
				e.mirrors[to] = &Mirror[endpoint.Announcement]{}
			}
		}
		var late []delivery
		deliver := func(longest time.Duration, f func(now time.Time)) {
			copies := rapid.IntRange(0, 2).Draw(t, "copies")
			for range copies {
				d := time.Duration(rapid.IntRange(0, int(longest/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
				late = append(late, delivery{now.Add(d), f})
			}
		}
		a := endpoint.Announcement{ID: "e", Service: "catalogue", Zone: "kelowna", Incarnation: 1,
			Address: netip.MustParseAddrPort("127.0.0.1:9001"), State: endpoint.Ready, Slots: 8, Connections: 64}
		stop := start.Add(time.Duration(rapid.IntRange(10, 60).Draw(t, "life")) * 100 * time.Millisecond)
		leaves := rapid.Bool().Draw(t, "leaves")
		for step := range 200 {
			now = start.Add(time.Duration(step) * 100 * time.Millisecond)
			if now.Before(stop) && step%4 == 0 {
				a.Seq++
				a.Uptime = wire.Duration(now.Sub(start) + time.Millisecond)
				sent := a
				if step == 0 { // every entry hears the first one at once
					for _, e := range entries {
						e.heard(sent, now, now)
					}
				}
				to := entries[step/4%3]
				deliver(10*time.Second, func(now time.Time) { to.heard(sent, now, now) })
			}
			if leaves && now.Equal(stop) {
				a.Seq, a.State = a.Seq+1, endpoint.Leaving
				entries[0].heard(a, now, now)
			}
			for i, e := range entries {
				to := entries[(i+1+step%2)%3]
				asked, m := now, e.mirrors[to]
				d := to.feed.DeltaSince(m.Cursor(), time.Second, now)
				deliver(4*time.Second, func(now time.Time) {
					m.Apply(d, asked, func(a endpoint.Announcement, made time.Time) Key {
						e.heard(a, made, now)
						return Key{a.ID, a.Incarnation}
					}, func(k Key, made time.Time) {
						e.members.Refresh(k.ID, k.Incarnation, made, now)
						e.note(k.ID)
					})
				})
			}
			var rest []delivery
			for _, m := range late {
				if m.at.After(now) {
					rest = append(rest, m)
				} else {
					m.do(now)
				}
			}
			late = rest
			for i, e := range entries {
				if !now.Before(stop.Add(feedTTL)) && e.usable(now) {
					t.Fatalf("entry %d uses the endpoint %v after it stopped", i, now.Sub(stop))
				}
			}
		}
	})
}
