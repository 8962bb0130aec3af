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

// feedEntry is one simulated entry with its endpoint membership and feeds.
type feedEntry struct {
	members *endpoint.Membership
	feed    *Feed[endpoint.Announcement]
	mirrors map[*feedEntry]*Mirror[endpoint.Announcement]
}

func (e *feedEntry) receive(a endpoint.Announcement, announcedAt, now time.Time) {
	e.members.Apply(a, now.Sub(announcedAt), now)
	e.updateFeed(a.ID)
}

func (e *feedEntry) updateFeed(id string) {
	if latest, announcedAt, ok := e.members.Latest(id); ok {
		latest.Uptime = 0
		e.feed.Put(id, latest, announcedAt)
	}
}

func (e *feedEntry) hasCandidate(now time.Time) bool {
	return len(e.members.View(now).Candidates("catalogue")) > 0
}

// delivery is a message that arrives at a later time.
type delivery struct {
	at time.Time
	do func(now time.Time)
}

// TestNoMessageKeepsAnEndpointAlive checks that every entry stops using a stopped
// endpoint within the TTL of announcements, even if messages are delayed, duplicated
// or lost. It guards against relayed messages that reduce the age of an announcement.
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
		var pending []delivery
		deliver := func(longest time.Duration, f func(now time.Time)) {
			copies := rapid.IntRange(0, 2).Draw(t, "copies")
			for range copies {
				d := time.Duration(rapid.IntRange(0, int(longest/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
				pending = append(pending, delivery{now.Add(d), f})
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
				if step == 0 { // every entry receives the first announcement immediately
					for _, e := range entries {
						e.receive(sent, now, now)
					}
				}
				to := entries[step/4%3]
				deliver(10*time.Second, func(now time.Time) { to.receive(sent, now, now) })
			}
			if leaves && now.Equal(stop) {
				a.Seq, a.State = a.Seq+1, endpoint.Leaving
				entries[0].receive(a, now, now)
			}
			for i, e := range entries {
				to := entries[(i+1+step%2)%3]
				sentAt, m := now, e.mirrors[to]
				d := to.feed.DeltaSince(m.Cursor(), time.Second, now)
				deliver(4*time.Second, func(now time.Time) {
					m.Apply(d, sentAt, func(a endpoint.Announcement, announcedAt time.Time) Key {
						e.receive(a, announcedAt, now)
						return Key{a.ID, a.Incarnation}
					}, func(k Key, announcedAt time.Time) {
						e.members.Refresh(k.ID, k.Incarnation, announcedAt, now)
						e.updateFeed(k.ID)
					})
				})
			}
			var remaining []delivery
			for _, m := range pending {
				if m.at.After(now) {
					remaining = append(remaining, m)
				} else {
					m.do(now)
				}
			}
			pending = remaining
			for i, e := range entries {
				if !now.Before(stop.Add(feedTTL)) && e.hasCandidate(now) {
					t.Fatalf("entry %d still uses the endpoint %v after it stopped", i, now.Sub(stop))
				}
			}
		}
	})
}
