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

// Times of the agreement on shares.
const (
	// Hold is how long an entry uses its shares after its control goroutine
	// last ran, and after the other entries stopped to count with it.
	ShareTimeout = 2 * time.Second
	// Linger is how long an entry still counts after its registration ended.
	// It covers Hold and the time in which an entry registers again.
	RemovalDelay = 4 * time.Second
)

// RosterRow is one entry as another entry knows it.
type RosterRow struct {
	Member Member `json:"member"`
	// Revision is the store's revision of the registration or of its end; 0
	// if the entry is known only from its messages.
	Revision int64 `json:"revision"`
	// Removed means that the registration ended; the entry counts as long as
	// it is heard of.
	Removed bool `json:"removed,omitempty"`
	// Age is the time since the entry was last heard of, or its registration
	// ended.
	Age wire.Duration `json:"age"`
}

type rosterRow struct {
	member   Member
	revision int64
	removed  bool
	// since is when the removal was learned of, or the entry was heard of.
	since time.Time
}

// Report is what another entry said of its shares in an answer.
type ShareReport struct {
	// Version names the set of entries that it shares with.
	Version string `json:"version"`
	// Over lists endpoints at which it still has more requests in progress
	// than its share.
	OverShare []string `json:"over,omitempty"`
	// Booted means that it knows the entries from the store or from another
	// entry that does, and was not just paused; the word of one that does not
	// is worth nothing.
	Bootstrapped bool `json:"booted"`
}

// Roster decides which entries share the endpoints' slots, and how many of
// them this entry may use, without asking anyone per request.
//
// Invariant: a share shrinks as soon as an entry is known. It grows only when
// every other entry of the set has answered, to a question asked after this
// entry adopted the set, that it has adopted the same one and has shrunk; and
// an entry leaves the set only when it cannot be using its shares any more.
// The Roster belongs to the control goroutine.
type Roster struct {
	self    Member
	rows    map[string]*rosterRow
	version string
	names   []string
	adopted time.Time
	// sets are the sets adopted since the last agreement; the shares are the
	// least of all of them. An empty set means no share at all.
	sets    [][]string
	reports map[string]ShareReport
	booted  bool
	filled  time.Time
	// stamp rises with every change that may change a share.
	stamp int64

	ticked   time.Time
	checked  time.Time
	woke     time.Time
	attested time.Time
}

// NewRoster returns a roster that knows only its own entry and allows no
// share until Boot.
func NewRoster(self Member, now time.Time) *Roster {
	r := &Roster{self: self, rows: make(map[string]*rosterRow), ticked: now,
		reports: make(map[string]ShareReport), sets: [][]string{nil}, attested: now}
	r.adopt(now)
	return r
}

// Filled says that the roster has been filled from the store, with this
// entry's own registration in it. After an outage others may register later,
// so that alone counts only after a while; an answer of a booted entry counts
// at once.
func (r *Roster) MarkLoaded(now time.Time) {
	if r.filled.IsZero() {
		r.filled = now
	}
}

// Booted reports whether the roster knows the other entries.
func (r *Roster) Bootstrapped() bool { return r.booted }

// Merge takes in what the store or another entry says of an entry, aged since
// asked, and reports whether the set of entries changed. A later process goes
// before an earlier one, and then the later revision of the store.
func (r *Roster) Merge(n RosterRow, asked, now time.Time) bool {
	if n.Member.ID == r.self.ID {
		return false
	}
	since := asked.Add(-n.Age.Std())
	row := &rosterRow{n.Member, n.Revision, n.Removed, since}
	old := r.rows[n.Member.ID]
	switch {
	case old == nil || n.Member.Incarnation > old.member.Incarnation:
		r.rows[n.Member.ID] = row
	case n.Member.Incarnation < old.member.Incarnation:
	case n.Revision > old.revision:
		r.rows[n.Member.ID] = row
	case since.After(old.since):
		old.since = since
	}
	return r.adopt(now)
}

// Hear takes in that another entry asked or answered at now.
func (r *Roster) RecordContact(m Member, now time.Time) bool {
	return r.Merge(RosterRow{Member: m}, now, now)
}

// Remove takes in that the store ended a registration at a revision.
func (r *Roster) Remove(id string, revision int64, now time.Time) bool {
	old := r.rows[id]
	if old == nil {
		return false
	}
	return r.Merge(RosterRow{Member: old.member, Revision: revision, Removed: true}, now, now)
}

// Rows returns the roster for another entry, the own entry included.
func (r *Roster) Rows(now time.Time) []RosterRow {
	out := []RosterRow{{Member: r.self}}
	for _, id := range r.ids() {
		row := r.rows[id]
		out = append(out, RosterRow{row.member, row.revision, row.removed,
			wire.Duration(clock.Elapsed(row.since, now))})
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

// counts reports whether a row's entry may still use its shares.
func (row *rosterRow) counts(now time.Time) bool {
	if !row.removed && row.revision > 0 {
		return true
	}
	return clock.Elapsed(row.since, now) < RemovalDelay
}

// adopt recomputes the set of entries and reports whether it changed.
func (r *Roster) adopt(now time.Time) bool {
	names, keys := []string{r.self.ID}, []string{identity(&r.self)}
	for id, row := range r.rows {
		if row.counts(now) {
			names = append(names, id)
			keys = append(keys, identity(&row.member))
		}
	}
	slices.Sort(keys)
	v := strconv.FormatUint(xxhash.Sum64String(strings.Join(keys, "\n")), 36)
	if v == r.version {
		return false
	}
	slices.Sort(names)
	r.version, r.names, r.adopted = v, names, now
	r.sets = append(r.sets, names)
	r.stamp++
	clear(r.reports)
	return true
}

func identity(m *Member) string { return m.ID + "@" + strconv.FormatInt(m.Incarnation, 10) }

// Tick lets entries go that cannot be using their shares any more, notices a
// pause of this process, and reports whether the set of entries changed.
func (r *Roster) Tick(now time.Time) bool {
	if clock.Elapsed(r.ticked, now) >= ShareTimeout {
		r.woke = now
		r.restart(now)
	}
	r.ticked = now
	if !r.woke.IsZero() && clock.Elapsed(r.woke, now) >= RemovalDelay {
		r.woke = time.Time{}
		if r.booted && len(r.reports) == 0 {
			r.sets = [][]string{r.names}
			r.stamp++
		}
	}
	if !r.filled.IsZero() && clock.Elapsed(r.filled, now) >= RemovalDelay {
		r.boot()
	}
	for id, row := range r.rows {
		if clock.Elapsed(row.since, now) > rosterMemory && !row.counts(now) {
			delete(r.rows, id)
		}
	}
	if clock.Elapsed(r.checked, now) < checkEvery {
		return false
	}
	r.checked = now
	changed := r.adopt(now)
	r.settle()
	return changed
}

// checkEvery is how often the roster looks for entries that ended to count.
const checkEvery = 50 * time.Millisecond

// restart gives up all shares until every other entry agrees again. Entries
// that were unheard for too long may just not have been heard here.
func (r *Roster) restart(now time.Time) {
	for _, row := range r.rows {
		if row.revision == 0 || row.removed {
			row.since = now
		}
	}
	r.adopt(now)
	r.sets = [][]string{nil, r.names}
	r.adopted = now
	r.stamp++
	clear(r.reports)
}

func (r *Roster) boot() {
	if !r.booted {
		r.booted = true
		r.stamp++
	}
}

// rosterMemory is how long a departed entry is remembered, so that late
// messages do not bring it back.
const rosterMemory = 10 * time.Minute

// Names returns the names of the entries that share, sorted.
func (r *Roster) MemberIDs() []string { return r.names }

// Version names the set of entries that share.
func (r *Roster) Version() string { return r.version }

// Peers returns the other entries that are remembered, those that left
// included: one that was paused must hear that it does not count any more.
func (r *Roster) Peers() []Member {
	out := make([]Member, 0, len(r.rows))
	for _, id := range r.ids() {
		out = append(out, r.rows[id].member)
	}
	return out
}

// Answered takes in the report of another entry in its answer to a question
// asked at asked.
func (r *Roster) RecordResponse(id string, p ShareReport, asked, now time.Time) {
	if !p.Bootstrapped {
		return
	}
	r.boot()
	if clock.Elapsed(r.attested, now) >= ShareTimeout {
		r.restart(now)
	}
	r.ConfirmMembership(asked)
	if !asked.Before(r.adopted) && p.Version == r.version && slices.Contains(r.names, id) {
		if old, ok := r.reports[id]; !ok || !slices.Equal(old.OverShare, p.OverShare) {
			r.stamp++
		}
		r.reports[id] = p
	}
	r.settle()
}

// Registered takes in that the store accepted a new registration, asked for
// at asked. The other entries may have shared without this one before, and
// there may be new ones.
func (r *Roster) RecordRegistration(asked, now time.Time) {
	if clock.Elapsed(r.attested, now) >= ShareTimeout {
		r.restart(now)
		r.booted, r.filled = false, time.Time{}
	}
	r.ConfirmMembership(asked)
}

// Attest takes in that the store or another entry counted this entry after
// asked.
func (r *Roster) ConfirmMembership(asked time.Time) {
	if asked.After(r.attested) {
		r.attested = asked
	}
	if !r.woke.IsZero() && !asked.Before(r.woke) {
		r.woke = time.Time{}
		r.stamp++
	}
}

// agreed reports whether every other entry has adopted the present set.
func (r *Roster) agreed() bool {
	return r.booted && r.woke.IsZero() && len(r.reports) == len(r.names)-1
}

// settle forgets the earlier sets once every other entry has also shrunk.
func (r *Roster) settle() {
	for _, p := range r.reports {
		if len(p.OverShare) > 0 {
			return
		}
	}
	if r.agreed() {
		r.sets = [][]string{r.names}
	}
}

// Stamp rises with every change that may change a share.
func (r *Roster) ShareGeneration() int64 { return r.stamp }

// Sharing reports whether this entry has had shares agreed since it started
// or was paused.
func (r *Roster) HasShares(now time.Time) bool {
	return r.booted && r.sets[0] != nil && !r.SharesValidUntil(now).IsZero()
}

// Share returns how many of an endpoint's slots this entry may use.
func (r *Roster) Share(endpoint string, slots int) int {
	if r.agreed() && !r.isOver(endpoint) {
		return Share(endpoint, slots, r.self.ID, r.names)
	}
	least := slots
	for _, names := range r.sets {
		least = min(least, Share(endpoint, slots, r.self.ID, names))
	}
	return least
}

func (r *Roster) isOver(endpoint string) bool {
	for _, p := range r.reports {
		if slices.Contains(p.OverShare, endpoint) {
			return true
		}
	}
	return false
}

// OpenUntil returns until when this entry may use its shares if its control
// goroutine does not run again, or the zero time if it may not. An entry that
// was paused waits for the store or another entry to answer. Where neither
// does it goes on, since the store may be down and the others gone.
func (r *Roster) SharesValidUntil(now time.Time) time.Time {
	if !r.woke.IsZero() {
		return time.Time{}
	}
	return now.Add(ShareTimeout)
}

// Report returns what an answer says of shares. Over lists the endpoints at
// which more requests are in progress than the share allows, and must be read
// after the shares were brought in line with Share.
func (r *Roster) Report(over []string) ShareReport {
	return ShareReport{Version: r.version, OverShare: over, Bootstrapped: r.booted && r.woke.IsZero()}
}
