package entry

import (
	"time"

	"rosemarygap/core/clock"
	"rosemarygap/core/endpoint"
	"rosemarygap/core/peer"
)

// Times of what entries tell one another.
const (
	exchangeEvery = 500 * time.Millisecond
	// exchangeSlow is the period with more than manyPeers other entries.
	exchangeSlow = time.Second
	manyPeers    = 8
	// heardWindow is how far back a digest's bits reach.
	heardWindow = time.Second
	// forgetAfter is how long departures are passed on.
	forgetAfter = 10 * time.Minute
	// wakeQuiet is how long after a pause announcements may still come from
	// the buffers of connections that were opened before it.
	wakeQuiet = 500 * time.Millisecond
	// pause is a gap in the control goroutine's work that counts as a pause.
	pause = time.Second
)

// peering is what an entry keeps about the others.
type peering struct {
	roster    *peer.Roster
	gate      endpoint.SendLease
	endpoints *peer.Feed[endpoint.Announcement]
	workers   *peer.Feed[peer.WorkerAnnouncement]
	mirrors   map[string]*mirror
	leaving   []endpoint.Announcement

	// applied is the roster's stamp when the shares were last applied.
	applied int64
	asked   time.Time
	ran     time.Time
	quiet   time.Time
	sharing bool
}

// mirror is what an entry keeps of one other entry.
type mirror struct {
	endpoints peer.Mirror[endpoint.Announcement]
	workers   peer.Mirror[peer.WorkerAnnouncement]
	// answered is the time of the latest answer.
	answered time.Time
	// busy is true while a question is under way.
	busy, down bool
}

func newPeering(self peer.Member, now time.Time) peering {
	return peering{
		roster: peer.NewRoster(self, now),
		endpoints: peer.NewFeed(self.Incarnation, func(a, b endpoint.Announcement) bool {
			return a.EqualExceptRefresh(b)
		}),
		workers: peer.NewFeed(self.Incarnation, func(a, b peer.WorkerAnnouncement) bool { return a == b }),
		mirrors: make(map[string]*mirror),
		ran:     now,
	}
}

// mirror returns what is kept of the entry at a key: its name, or its address
// while the name is not known.
func (p *peering) mirror(key string) *mirror {
	m := p.mirrors[key]
	if m == nil {
		m = &mirror{}
		p.mirrors[key] = m
	}
	return m
}

// tickRoster brings the shares in line with the clock and with the entries
// that are known.
func (c *control) tickRoster(now time.Time) {
	p := &c.peering
	if clock.Elapsed(p.ran, now) >= pause {
		p.quiet = now.Add(wakeQuiet)
	}
	p.ran = now
	c.rosterChanged(p.roster.Tick(now))
	c.applyShares()
	p.gate.Extend(p.roster.SharesValidUntil(now))
	if s := p.roster.HasShares(now); s != p.sharing {
		p.sharing = s
		c.dirty = true
	}
}

// rosterChanged asks every entry at once when the set of them changed, since
// shares grow only with their answers.
func (c *control) rosterChanged(changed bool) {
	if changed {
		c.peering.asked = time.Time{}
		c.applyShares()
	}
}

// applyShares limits the requests in progress to this entry's shares.
func (c *control) applyShares() {
	if s := c.peering.roster.ShareGeneration(); s != c.peering.applied {
		c.peering.applied = s
		c.endpoints.ApplyShares()
	}
}

// heardEndpoint takes in an announcement that was made no later than made.
func (c *control) heardEndpoint(a endpoint.Announcement, made, now time.Time, direct bool) {
	if direct && a.State == endpoint.Ready && now.Before(c.peering.quiet) {
		return
	}
	if c.endpoints.Apply(a, clock.Elapsed(made, now), now) {
		c.dirty = true
		if direct && a.State == endpoint.Leaving {
			c.peering.leaving = append(c.peering.leaving, a)
			c.peering.asked = time.Time{}
		}
	}
	if latest, made, ok := c.endpoints.Latest(a.ID); ok {
		latest.Uptime = 0
		c.peering.endpoints.Put(a.ID, latest, made)
	}
}

// refreshedEndpoint takes in that another entry heard of an endpoint.
func (c *control) refreshedEndpoint(k peer.Key, made, now time.Time) {
	news, changed := c.endpoints.Refresh(k.ID, k.Incarnation, made, now)
	if !news {
		return
	}
	c.dirty = c.dirty || changed
	if latest, made, ok := c.endpoints.Latest(k.ID); ok {
		latest.Uptime = 0
		c.peering.endpoints.Put(k.ID, latest, made)
	}
}
