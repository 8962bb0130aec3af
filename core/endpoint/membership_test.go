package endpoint

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func announcement(seq int64, s State) Announcement {
	return Announcement{ID: "e1", Service: "catalogue", Zone: "kelowna",
		Address:     netip.MustParseAddrPort("127.0.0.1:9001"),
		Incarnation: 1, Seq: seq, State: s, Slots: 8, Connections: 64}
}

// TestRefreshKeepsPublishedCandidateUsable checks that a refresh extends the
// candidates of a view that was published before it. A refresh changes no
// candidate, so no new view is published.
func TestRefreshKeepsPublishedCandidateUsable(t *testing.T) {
	is := is.New(t)
	m := NewMembership(2 * time.Second)
	is.True(m.Apply(announcement(1, Ready), 0, testStart))
	v := m.View(testStart)
	is.True(!m.Apply(announcement(2, Ready), 0, testStart.Add(1500*time.Millisecond)))

	now := testStart.Add(2100 * time.Millisecond)
	is.True(TwoChoices{}.Pick(v.Candidates("catalogue"), now) != nil)
	is.True(TwoChoices{}.Pick(v.Candidates("catalogue"), now.Add(2*time.Second)) == nil)
}

func TestLeavingIsFinal(t *testing.T) {
	tests := []struct {
		name     string
		received []Announcement
		usable   bool
	}{
		{"ready", []Announcement{announcement(1, Ready)}, true},
		{"leaving", []Announcement{announcement(1, Ready), announcement(2, Leaving)}, false},
		{"refresh after leaving", []Announcement{announcement(1, Leaving), announcement(9, Ready)}, false},
		{"leaving with a lower sequence number arrives last", []Announcement{announcement(5, Ready), announcement(3, Leaving)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMembership(2 * time.Second)
			for _, a := range tt.received {
				m.Apply(a, 0, testStart)
			}
			is.Equal(len(m.View(testStart).Candidates("catalogue")) == 1, tt.usable)
		})
	}
}

// An announcement with the highest incarnation or number must be refused: no announcement of the
// endpoint itself would ever count again.
func TestAnnouncementWithImpossibleNumbers(t *testing.T) {
	is := is.New(t)
	for _, change := range []func(*Announcement){
		func(a *Announcement) { a.Incarnation = math.MaxInt64 },
		func(a *Announcement) { a.Incarnation = -1 },
		func(a *Announcement) { a.Seq = math.MaxInt64 },
		func(a *Announcement) { a.Seq = -1 },
	} {
		a := Announcement{ID: "endpoint-1", Service: "catalogue", Address: netip.MustParseAddrPort("127.0.0.1:9001"),
			Incarnation: time.Now().UnixNano(), Seq: 1, State: Ready, Slots: 8, Connections: 64}
		is.NoErr(a.Check())
		change(&a)
		is.True(a.Check() != nil)
	}
}
