package caller

import (
	"testing"
	"time"

	"rosemarygap/core/clock/clocktest"

	"github.com/matryer/is"
)

// An entry that was suspended for longer than its view was valid may have missed a
// member that joined, granted claims and left. It must not take its history of the
// membership for complete, although its monotonic clock stood still meanwhile.
func TestSuspendedEntryMistrustsItsHistory(t *testing.T) {
	is := is.New(t)
	self, other := Member{ID: "a"}, Member{ID: "b"}
	now := time.Now()
	d := NewDeduplicator(self, 6*time.Second, time.Minute)
	d.Join(ViewChange{Seq: 1}, now)
	d.UpdateMembers(MembersSnapshot{Members: []Member{self, other}, SeqBefore: 1, SeqAfter: 1, StartedAt: now}, now)
	is.Equal(d.history.CompleteSince.Round(0), now.Round(0))
	woken := clocktest.AfterSuspension(now, 10*time.Second)
	d.UpdateMembers(MembersSnapshot{Members: []Member{self, other}, SeqBefore: 2, SeqAfter: 2, StartedAt: woken}, woken)
	is.Equal(d.history.CompleteSince.Round(0), woken.Round(0))
}
