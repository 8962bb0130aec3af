package job

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// heldReport is a report that the network may deliver to its owner once more: for the agent it
// was abandoned.
type heldReport struct {
	owner  *owner
	report Report
}

// maxHeldReports limits how many reports the network keeps.
const maxHeldReports = 12

// hold keeps a copy of a report that was sent to an owner.
func (h *history) hold(o *owner, r *Report) {
	copied := *r
	copied.Running, copied.Ended, copied.Absent = slices.Clone(r.Running), slices.Clone(r.Ended), slices.Clone(r.Absent)
	h.heldReports = append(h.heldReports, heldReport{o, copied})
	if n := len(h.heldReports); n > maxHeldReports {
		// Old and new reports are kept, so that their ages differ widely.
		drop := rapid.IntRange(0, n-1).Draw(h.t, "dropped report")
		h.heldReports = slices.Delete(h.heldReports, drop, drop+1)
	}
}

// deliverHeldReport delivers a held report, as a report or as a long poll. Nobody reads the
// reply. The process of an owner may have become the owner of a later epoch.
func (h *history) deliverHeldReport() {
	if len(h.heldReports) == 0 {
		return
	}
	held := rapid.SampledFrom(h.heldReports).Draw(h.t, "held report")
	r, o := held.report, held.owner
	if rapid.Bool().Draw(h.t, "elected again") {
		o = h.newestOwner()
	}
	if rapid.Bool().Draw(h.t, "long poll") {
		r.LongPoll, r.Listed, r.Running, r.Ended = true, false, nil, nil
	}
	o.Receive(&r, h.now)
	o.Tick(h.now)
	o.Reply(&r, h.now)
}

// passSilence lets the leases of the workers end and their rows be removed while no report
// gets through.
func (h *history) passSilence() {
	const silence = 12 * time.Second
	for range int(silence / historyTick) {
		h.tick()
		for _, o := range h.owners[max(0, len(h.owners)-2):] {
			h.checkOwnership(o)
			o.Tick(h.now)
			h.commitWrites(o, false, false)
		}
	}
}

// TestHistoriesWithHeldReports checks the invariants of TestHistories while the network delivers
// reports long after later ones, also to the owner of a later epoch and after the rows of their
// workers were removed.
func TestHistoriesWithHeldReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.holdsReports = true
		for n := range rapid.IntRange(5, 120).Draw(t, "length") {
			switch rapid.IntRange(0, 9).Draw(t, "network") {
			case 0, 1, 2:
				h.deliverHeldReport()
			case 3:
				h.passSilence()
			}
			h.randomEvent(n)
		}
		h.finishAll()
	})
}
