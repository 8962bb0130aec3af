package peer

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"rosemarygap/core/clock"
	"rosemarygap/core/wire"

	"github.com/cespare/xxhash/v2"
)

// Timeouts of the agreement on shares.
const (
	// ShareTimeout is how long an entry uses its shares after its control
	// goroutine last ran. An entry whose membership wasn't confirmed for this long
	// resets its shares at its next registration or response, since the other
	// entries may have removed it.
	ShareTimeout = 2 * time.Second
	// RemovalDelay is how long an entry without a registration stays a member
	// after its registration ended or its last message arrived, whichever is
	// later. It covers ShareTimeout and the time that an entry needs to register
	// again.
	RemovalDelay = 4 * time.Second
)

// RosterRow is the state of one entry as another entry knows it.
type RosterRow struct {
	Member Member `json:"member"`
	// Revision is the store revision at which the registration was written or
	// ended, or 0 if the entry is known only from its messages.
	Revision int64 `json:"revision"`
	// Removed means that the registration ended. The entry stays a member while
	// messages from it arrive.
	Removed bool `json:"removed,omitempty"`
	// Age is the time since the last message from the entry, or since its
	// registration ended.
	Age wire.Duration `json:"age"`
}

type rosterRow struct {
	member   Member
	revision int64
	removed  bool
	// lastSeen is the time of the last message from the entry, or the time at
	// which its removal became known.
	lastSeen time.Time
}

// ShareReport is the state of an entry's shares in its response to another entry.
type ShareReport struct {
	// Version identifies the set of entries among which the entry computes the
	// shares.
	Version string `json:"version"`
	// OverShare lists endpoints at which the entry still has more requests in
	// progress than its share.
	OverShare []string `json:"over,omitempty"`
	// Bootstrapped means that the entry knows the other entries, from the store
	// or from another bootstrapped entry, and that it wasn't just paused. A report
	// without it is ignored.
	Bootstrapped bool `json:"booted"`
}

// Roster tracks the set of entries that share the slots of the endpoints. From it
// the Roster computes how many slots this entry may use, so that a single request
// needs no communication between entries.
//
// Invariant: a share shrinks as soon as another entry becomes known. It grows only
// after every other entry of the set has confirmed that it adopted the same set and
// that its requests in progress fit its shares; the confirmation must respond to a
// request that was sent after this entry adopted the set. An entry is removed from
// the set only when it can't be using its shares any more. The Roster belongs to the
// control goroutine.
type Roster struct {
	self      Member
	rows      map[string]*rosterRow
	version   string
	memberIDs []string
	adoptedAt time.Time
	// pendingSets contains the set of the last agreement and all sets that were
	// adopted after it. Until the next agreement, each share is the minimum over all
	// of these sets. A nil set allows no shares.
	pendingSets [][]string
	// reports contains, by entry id, the latest report of each other entry that has
	// adopted the current set.
	reports      map[string]ShareReport
	bootstrapped bool
	// loadedAt is the time of the first call of MarkLoaded, or zero.
	loadedAt time.Time
	// shareGeneration increases with every update that may change a share.
	shareGeneration int64

	lastTick     time.Time
	lastSetCheck time.Time
	// resumedAt is when this process resumed from a pause. It is zero if there was no
	// pause, after the membership was confirmed again, and after RemovalDelay.
	resumedAt time.Time
	// lastConfirmed is when the latest request was sent whose response confirmed the
	// membership of this entry, initially the start time.
	lastConfirmed time.Time
}

// NewRoster returns a roster that contains only its own entry. It allows no shares
// until the first agreement on them.
func NewRoster(self Member, now time.Time) *Roster {
	r := &Roster{self: self, rows: make(map[string]*rosterRow), lastTick: now,
		reports: make(map[string]ShareReport), pendingSets: [][]string{nil}, lastConfirmed: now}
	r.updateSet(now)
	return r
}

// MarkLoaded records that the roster was loaded from the store after this entry
// registered itself there. After an outage other entries may register later, so
// loading bootstraps the roster only after RemovalDelay. A response of a
// bootstrapped entry bootstraps it immediately.
func (r *Roster) MarkLoaded(now time.Time) {
	if r.loadedAt.IsZero() {
		r.loadedAt = now
	}
}

// Bootstrapped reports whether the roster knows the other entries.
func (r *Roster) Bootstrapped() bool { return r.bootstrapped }

// Merge merges a row from the store or from another entry and reports whether the
// set of entries changed. The row's age counts from sentAt. A higher incarnation
// takes precedence, then a higher store revision.
func (r *Roster) Merge(received RosterRow, sentAt, now time.Time) bool {
	if received.Member.ID == r.self.ID || received.Member.ID == "" {
		return false
	}
	lastSeen := sentAt.Add(-max(0, received.Age.Std()))
	row := &rosterRow{received.Member, received.Revision, received.Removed, lastSeen}
	old := r.rows[received.Member.ID]
	switch {
	case old == nil || received.Member.Incarnation > old.member.Incarnation:
		r.rows[received.Member.ID] = row
	case received.Member.Incarnation < old.member.Incarnation:
	case received.Revision > old.revision:
		r.rows[received.Member.ID] = row
	case lastSeen.After(old.lastSeen):
		old.lastSeen = lastSeen
	}
	return r.updateSet(now)
}

// RecordContact records that a request or response of another entry arrived at now.
// It reports whether the set of entries changed.
func (r *Roster) RecordContact(m Member, now time.Time) bool {
	return r.Merge(RosterRow{Member: m}, now, now)
}

// Remove records that a registration ended in the store at the given revision. It
// reports whether the set of entries changed.
func (r *Roster) Remove(id string, revision int64, now time.Time) bool {
	old := r.rows[id]
	if old == nil {
		return false
	}
	return r.Merge(RosterRow{Member: old.member, Revision: revision, Removed: true}, now, now)
}

// Rows returns all rows, including this entry's own, to send to another entry.
func (r *Roster) Rows(now time.Time) []RosterRow {
	out := []RosterRow{{Member: r.self}}
	for _, id := range r.ids() {
		row := r.rows[id]
		out = append(out, RosterRow{row.member, row.revision, row.removed,
			wire.Duration(clock.Elapsed(row.lastSeen, now))})
	}
	return out
}

func (r *Roster) ids() []string {
	ids := make([]string, 0, len(r.rows))
	for id := range r.rows {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// mayUseShares reports whether the entry of a row may still be using its shares.
func (row *rosterRow) mayUseShares(now time.Time) bool {
	if !row.removed && row.revision > 0 {
		return true
	}
	return clock.Elapsed(row.lastSeen, now) < RemovalDelay
}

// updateSet recomputes the set of entries and reports whether it changed.
func (r *Roster) updateSet(now time.Time) bool {
	ids, keys := []string{r.self.ID}, []string{incarnationKey(&r.self)}
	for id, row := range r.rows {
		if row.mayUseShares(now) {
			ids = append(ids, id)
			keys = append(keys, incarnationKey(&row.member))
		}
	}
	slices.Sort(keys)
	v := strconv.FormatUint(xxhash.Sum64String(strings.Join(keys, "\n")), 36)
	if v == r.version {
		return false
	}
	slices.Sort(ids)
	r.version, r.memberIDs, r.adoptedAt = v, ids, now
	r.pendingSets = append(r.pendingSets, ids)
	r.shareGeneration++
	clear(r.reports)
	return true
}

func incarnationKey(m *Member) string { return m.ID + "@" + strconv.FormatInt(m.Incarnation, 10) }

// Tick removes entries that can't be using their shares any more, detects a pause of
// this process, and reports whether the set of entries changed.
func (r *Roster) Tick(now time.Time) bool {
	if clock.Elapsed(r.lastTick, now) >= ShareTimeout {
		r.resumedAt = now
		r.resetShares(now)
	}
	r.lastTick = now
	if !r.resumedAt.IsZero() && clock.Elapsed(r.resumedAt, now) >= RemovalDelay {
		r.resumedAt = time.Time{}
		if r.bootstrapped && len(r.reports) == 0 {
			r.pendingSets = [][]string{r.memberIDs}
			r.shareGeneration++
		}
	}
	if !r.loadedAt.IsZero() && clock.Elapsed(r.loadedAt, now) >= RemovalDelay {
		r.markBootstrapped()
	}
	for id, row := range r.rows {
		if clock.Elapsed(row.lastSeen, now) > departedRetention && !row.mayUseShares(now) {
			delete(r.rows, id)
		}
	}
	if clock.Elapsed(r.lastSetCheck, now) < setCheckInterval {
		return false
	}
	r.lastSetCheck = now
	changed := r.updateSet(now)
	r.dropEarlierSets()
	return changed
}

// setCheckInterval is the minimum time between checks for entries whose membership
// expired.
const setCheckInterval = 50 * time.Millisecond

// resetShares gives up all shares until every other entry agrees again. It extends
// the membership of entries without a valid registration, since this process may
// have missed their messages.
func (r *Roster) resetShares(now time.Time) {
	for _, row := range r.rows {
		if row.revision == 0 || row.removed {
			row.lastSeen = now
		}
	}
	r.updateSet(now)
	r.pendingSets = [][]string{nil, r.memberIDs}
	r.adoptedAt = now
	r.shareGeneration++
	clear(r.reports)
}

func (r *Roster) markBootstrapped() {
	if !r.bootstrapped {
		r.bootstrapped = true
		r.shareGeneration++
	}
}

// departedRetention is how long the row of a departed entry is kept, so that delayed
// messages don't add the entry again.
const departedRetention = 10 * time.Minute

// MemberIDs returns the sorted ids of the entries that share the slots.
func (r *Roster) MemberIDs() []string { return r.memberIDs }

// Version identifies the set of entries that share the slots.
func (r *Roster) Version() string { return r.version }

// Peers returns all other known entries, including removed ones: an entry that was
// paused must learn that it is no longer a member.
func (r *Roster) Peers() []Member {
	out := make([]Member, 0, len(r.rows))
	for _, id := range r.ids() {
		out = append(out, r.rows[id].member)
	}
	return out
}

// RecordResponse records the report in another entry's response to a request sent
// at sentAt.
func (r *Roster) RecordResponse(id string, report ShareReport, sentAt, now time.Time) {
	if !report.Bootstrapped {
		return
	}
	r.markBootstrapped()
	if clock.Elapsed(r.lastConfirmed, now) >= ShareTimeout {
		r.resetShares(now)
	}
	r.ConfirmMembership(sentAt)
	if !sentAt.Before(r.adoptedAt) && report.Version == r.version && slices.Contains(r.memberIDs, id) {
		if old, ok := r.reports[id]; !ok || !slices.Equal(old.OverShare, report.OverShare) {
			r.shareGeneration++
		}
		r.reports[id] = report
	}
	r.dropEarlierSets()
}

// RecordRegistration records that the store accepted a new registration, requested
// at sentAt. If the last confirmation is at least ShareTimeout old, the roster gives
// up its shares and must be bootstrapped again, since the other entries may have
// shared the slots without this one and there may be new entries.
func (r *Roster) RecordRegistration(sentAt, now time.Time) {
	if clock.Elapsed(r.lastConfirmed, now) >= ShareTimeout {
		r.resetShares(now)
		r.bootstrapped, r.loadedAt = false, time.Time{}
	}
	r.ConfirmMembership(sentAt)
}

// ConfirmMembership records that the store or another entry treated this entry as a
// member in response to a request sent at sentAt.
func (r *Roster) ConfirmMembership(sentAt time.Time) {
	if sentAt.After(r.lastConfirmed) {
		r.lastConfirmed = sentAt
	}
	if !r.resumedAt.IsZero() && !sentAt.Before(r.resumedAt) {
		r.resumedAt = time.Time{}
		r.shareGeneration++
	}
}

// allAdopted reports whether every other entry has adopted the current set. It
// reports false until this entry knows the other entries, and after a pause until
// resumedAt is reset.
func (r *Roster) allAdopted() bool {
	return r.bootstrapped && r.resumedAt.IsZero() && len(r.reports) == len(r.memberIDs)-1
}

// dropEarlierSets drops the earlier sets if every other entry has adopted the
// current one and has no more requests in progress than its shares.
func (r *Roster) dropEarlierSets() {
	for _, p := range r.reports {
		if len(p.OverShare) > 0 {
			return
		}
	}
	if r.allAdopted() {
		r.pendingSets = [][]string{r.memberIDs}
	}
}

// ShareGeneration returns a counter that increases with every update that may change
// a share.
func (r *Roster) ShareGeneration() int64 { return r.shareGeneration }

// HasShares reports whether the entries have agreed on shares since this entry
// started or was paused.
func (r *Roster) HasShares(now time.Time) bool {
	return r.bootstrapped && r.pendingSets[0] != nil && !r.SharesValidUntil(now).IsZero()
}

// Share returns the number of an endpoint's slots that this entry may use.
func (r *Roster) Share(endpoint string, slots int) int {
	if r.allAdopted() && !r.isOverShare(endpoint) {
		return Share(endpoint, slots, r.self.ID, r.memberIDs)
	}
	least := slots
	for _, ids := range r.pendingSets {
		least = min(least, Share(endpoint, slots, r.self.ID, ids))
	}
	return least
}

func (r *Roster) isOverShare(endpoint string) bool {
	for _, p := range r.reports {
		if slices.Contains(p.OverShare, endpoint) {
			return true
		}
	}
	return false
}

// SharesValidUntil returns the time until which this entry may use its shares if its
// control goroutine doesn't run again, or the zero time if it may not use them. An
// entry that was paused waits for a response of the store or another entry. After
// RemovalDelay without a response it resumes, since the store may be down and the
// other entries may be gone.
func (r *Roster) SharesValidUntil(now time.Time) time.Time {
	if !r.resumedAt.IsZero() {
		return time.Time{}
	}
	return now.Add(ShareTimeout)
}

// Report returns the share report for a response. The list over holds the endpoints
// with more requests in progress than the share allows, and must be determined after
// the limits were updated to the results of Share.
func (r *Roster) Report(over []string) ShareReport {
	return ShareReport{Version: r.version, OverShare: over, Bootstrapped: r.bootstrapped && r.resumedAt.IsZero()}
}
