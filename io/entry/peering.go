package entry

import (
	"time"

	"rosemarygap/core/clock"
	"rosemarygap/core/endpoint"
	"rosemarygap/core/peer"
)

// Timings of the communication among entries.
const (
	exchangeInterval = 500 * time.Millisecond
	// slowExchangeInterval replaces exchangeInterval if there are more than
	// maxFullRatePeers other entries.
	slowExchangeInterval = time.Second
	maxFullRatePeers     = 8
	// refreshWindow is the maximum age of the announcements that the bitmap of a
	// peer.Delta includes.
	refreshWindow = time.Second
	// feedRetention is how long announcements, including those of departures, are sent
	// to other entries.
	feedRetention = 10 * time.Minute
	// resumeQuietPeriod is how long after a pause of the process the ready
	// announcements of endpoints are ignored, since they may come from the buffers of
	// connections that were opened before the pause.
	resumeQuietPeriod = 500 * time.Millisecond
	// pauseThreshold is the time without a run of the control goroutine from which on
	// the process is assumed to have been paused.
	pauseThreshold = time.Second
)

// peering is the state of the communication with the other entries.
type peering struct {
	roster *peer.Roster
	// sendLease is this entry's permission to use its shares. It isn't a lease in the
	// store.
	sendLease         endpoint.SendLease
	endpointFeed      *peer.Feed[endpoint.Announcement]
	workerFeed        *peer.Feed[peer.WorkerAnnouncement]
	peers             map[string]*peerState
	pendingDepartures []endpoint.Announcement

	// appliedGeneration is the roster's share generation that was last applied.
	appliedGeneration int64
	lastExchange      time.Time
	lastRun           time.Time
	quietUntil        time.Time
	hasShares         bool
}

// peerState is the state of the communication with one other entry.
type peerState struct {
	endpoints peer.Mirror[endpoint.Announcement]
	workers   peer.Mirror[peer.WorkerAnnouncement]
	// lastResponse is the time at which the latest response arrived.
	lastResponse time.Time
	// inFlight is true while an exchange request is in progress. unreachable is true if
	// the last one failed.
	inFlight, unreachable bool
}

func newPeering(self peer.Member, now time.Time) peering {
	return peering{
		roster: peer.NewRoster(self, now),
		endpointFeed: peer.NewFeed(self.Incarnation, func(a, b endpoint.Announcement) bool {
			return a.EqualExceptRefresh(b)
		}),
		workerFeed: peer.NewFeed(self.Incarnation, func(a, b peer.WorkerAnnouncement) bool { return a == b }),
		peers:      make(map[string]*peerState),
		lastRun:    now,
	}
}

// peer returns the state for the entry with the given key, which is the id of the
// entry, or its address while the id is unknown.
func (p *peering) peer(key string) *peerState {
	state := p.peers[key]
	if state == nil {
		state = &peerState{}
		p.peers[key] = state
	}
	return state
}

// tickRoster updates the roster and the shares to the current time. It also detects
// a pause of the process.
func (c *control) tickRoster(now time.Time) {
	p := &c.peering
	if clock.Elapsed(p.lastRun, now) >= pauseThreshold {
		p.quietUntil = now.Add(resumeQuietPeriod)
	}
	p.lastRun = now
	c.handleRosterChange(p.roster.Tick(now))
	c.applyShares()
	p.sendLease.Extend(p.roster.SharesValidUntil(now))
	if hasShares := p.roster.HasShares(now); hasShares != p.hasShares {
		p.hasShares = hasShares
		c.dirty = true
	}
}

// handleRosterChange makes an exchange with all entries due immediately if the set of
// entries changed, since shares grow only after the responses of the other entries.
func (c *control) handleRosterChange(changed bool) {
	if changed {
		c.peering.lastExchange = time.Time{}
		c.applyShares()
	}
}

// applyShares limits the requests in progress at each endpoint to this entry's share
// of its slots, if a share may have changed.
func (c *control) applyShares() {
	if generation := c.peering.roster.ShareGeneration(); generation != c.peering.appliedGeneration {
		c.peering.appliedGeneration = generation
		c.endpoints.ApplyShares()
	}
}

// applyEndpointAnnouncement applies an announcement that was made at announcedAt or
// earlier. The argument direct is true if the endpoint itself sent it to this entry.
// A direct announcement of a departure is sent to all other entries immediately. The
// announcements in the feed have no uptime, because the time that Latest returns
// already takes it into account. A refresh changes only that time.
func (c *control) applyEndpointAnnouncement(a endpoint.Announcement, announcedAt, now time.Time, direct bool) {
	if direct && a.State == endpoint.Ready && now.Before(c.peering.quietUntil) {
		return
	}
	if c.endpoints.Apply(a, clock.Elapsed(announcedAt, now), now) {
		c.dirty = true
		if direct && a.State == endpoint.Leaving {
			c.peering.pendingDepartures = append(c.peering.pendingDepartures, a)
			c.peering.lastExchange = time.Time{}
		}
	}
	if latest, announcedAt, ok := c.endpoints.Latest(a.ID); ok {
		latest.Uptime = 0
		c.peering.endpointFeed.Put(a.ID, latest, announcedAt)
	}
}

// refreshEndpoint records that another entry received an announcement of an endpoint
// that was made at announcedAt.
func (c *control) refreshEndpoint(k peer.Key, announcedAt, now time.Time) {
	isNewer, changed := c.endpoints.Refresh(k.ID, k.Incarnation, announcedAt, now)
	if !isNewer {
		return
	}
	c.dirty = c.dirty || changed
	if latest, announcedAt, ok := c.endpoints.Latest(k.ID); ok {
		latest.Uptime = 0
		c.peering.endpointFeed.Put(k.ID, latest, announcedAt)
	}
}
