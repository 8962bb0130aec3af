package operator

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"

	core "rosemarygap/core/operator"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/status"
	"rosemarygap/io/golden"
	"rosemarygap/io/platform"
	standin "rosemarygap/io/standin/platform"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that a verdict is the same in every run.
func TestMain(m *testing.M) { golden.FixSeed(m, "") }

// fault is what happens to one call of the store.
type fault string

// Faults of a call.
const (
	none      fault = "none"
	rejected  fault = "refused"
	lostAfter fault = "answer-lost"
	delayed   fault = "write-delayed"
	overtaken fault = "overtaken"
)

// faultyStore is a store whose calls meet drawn faults.
type faultyStore struct {
	platform.Store
	draw func(choices ...fault) fault
	// late are writes that were sent and have not arrived yet.
	late []platform.Write
	// overtake lets another operator act between a read and a write.
	overtake func()
	// accepted are the configurations that the store held, in order.
	accepted []core.AcceptedConfig
}

func (s *faultyStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.draw(none, none, none, rejected) == rejected {
		return platform.Entry{}, status.ErrStoreUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) Put(ctx context.Context, w platform.Write) (int64, error) {
	switch s.draw(none, rejected, lostAfter, delayed, overtaken) {
	case rejected:
		return 0, status.ErrStoreUnavailable
	case lostAfter:
		_, _ = s.arrive(ctx, w)
		return 0, status.ErrStoreUnavailable
	case delayed:
		s.late = append(s.late, w)
		return 0, status.ErrStoreUnavailable
	case overtaken:
		s.overtake()
	}
	return s.arrive(ctx, w)
}

// arrive applies a write and notes what the store holds then.
func (s *faultyStore) arrive(ctx context.Context, w platform.Write) (int64, error) {
	rev, err := s.Store.Put(ctx, w)
	if err == nil {
		var a core.AcceptedConfig
		_ = json.Unmarshal(w.Value, &a)
		s.accepted = append(s.accepted, a)
	}
	return rev, err
}

// desk is several operators at several entries with one store.
type desk struct {
	store   *faultyStore
	entries []*core.AcceptedConfig
	edits   []core.Edit
	// told is the answer that each edit got: done, conflict or none yet.
	told  map[string]string
	depth int
}

// tell notes an answer; a final answer never changes.
func (d *desk) tell(t *rapid.T, id, answer string) {
	if old := d.told[id]; old != "" && old != answer {
		t.Fatalf("change %s was told %s, then %s", id, old, answer)
	}
	d.told[id] = answer
}

// send sends an edit to an entry. Another operator may act meanwhile.
func (d *desk) send(t *rapid.T, entry int, e core.Edit) {
	done, current, err := applyEdit(context.Background(), d.store, d.entries[entry], &e)
	switch {
	case err == nil:
		d.tell(t, e.ChangeID, "done")
		if done.Document.Format != e.Document.Format {
			t.Fatalf("change %s was answered with another document", e.ChangeID)
		}
	case errors.Is(err, status.ErrConfigConflict):
		d.tell(t, e.ChangeID, "conflict")
		if current == nil || current.Revision == e.Revision {
			t.Fatalf("conflict of change %s without a later revision", e.ChangeID)
		}
	case status.RetryAfterOf(err) == 0:
		t.Fatalf("change %s: %v without a time to try again", e.ChangeID, err)
	}
}

// hear gives an entry what the store holds, as a late watch would.
func (d *desk) hear(t *rapid.T, entry, i int) {
	before := d.entries[entry]
	d.entries[entry] = core.Newest(before, &d.store.accepted[i])
	if before != nil && d.entries[entry].Revision < before.Revision {
		t.Fatalf("entry %d went back from %d", entry, before.Revision)
	}
}

// Racing operators, lost answers, delayed writes and repeats: each change
// takes effect at most once, is told the same for good, and what it is told
// is true in the end. Revisions rise by one.
func TestEditsTakeEffectOnceAndAreToldTruly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &desk{entries: make([]*core.AcceptedConfig, 3), told: map[string]string{}}
		d.store = &faultyStore{Store: standin.NewStore()}
		d.store.draw = func(c ...fault) fault { return rapid.SampledFrom(c).Draw(t, "fault") }
		entry := func() int { return rapid.IntRange(0, 2).Draw(t, "entry") }
		fresh := func() {
			e := core.Edit{ChangeID: "change-" + strconv.Itoa(len(d.edits))}
			if n := len(d.store.accepted); n > 0 {
				e.Revision = d.store.accepted[rapid.IntRange(max(0, n-2), n-1).Draw(t, "base")].Revision
			}
			e.Document.Format = e.ChangeID
			d.edits = append(d.edits, e)
			d.send(t, entry(), e)
		}
		d.store.overtake = func() {
			if d.depth < 2 {
				d.depth++
				fresh()
				d.depth--
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(*rapid.T) { fresh() },
			"repeat": func(t *rapid.T) {
				if len(d.edits) > 0 {
					d.send(t, entry(), rapid.SampledFrom(d.edits).Draw(t, "edit"))
				}
			},
			"late-write-arrives": func(t *rapid.T) {
				if n := len(d.store.late); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "write")
					_, _ = d.store.arrive(context.Background(), d.store.late[i])
				}
			},
			"entry-hears": func(t *rapid.T) {
				if n := len(d.store.accepted); n > 0 {
					d.hear(t, entry(), rapid.IntRange(0, n-1).Draw(t, "heard"))
				}
			},
			"entry-restarts": func(*rapid.T) { d.entries[entry()] = nil },
			"":               func(t *rapid.T) { d.check(t) },
		})
		d.settle(t)
	})
}

// check compares what was told with what took effect.
func (d *desk) check(t *rapid.T) {
	times := map[string]int{}
	for i, a := range d.store.accepted {
		times[a.ChangeID]++
		if a.Revision != int64(i+1) {
			t.Fatalf("configuration %d has revision %d", i, a.Revision)
		}
	}
	for id, n := range times {
		if n != 1 || d.told[id] == "conflict" {
			t.Fatalf("change %s took effect %d times and was told %q", id, n, d.told[id])
		}
	}
	for id, answer := range d.told {
		if answer == "done" && times[id] == 0 {
			t.Fatalf("change %s was told done and never took effect", id)
		}
	}
}

// settle lets every late write arrive and asks for the fate of every edit
// without faults: each gets its final answer.
func (d *desk) settle(t *rapid.T) {
	for _, w := range d.store.late {
		_, _ = d.store.arrive(context.Background(), w)
	}
	d.store.draw = func(...fault) fault { return none }
	for _, e := range d.edits {
		d.send(t, 0, e)
		if d.told[e.ChangeID] == "" {
			t.Fatalf("change %s has no final answer", e.ChangeID)
		}
	}
	d.check(t)
}

// A store that lost the configuration brings no old revision back: the next
// edit is written above the one in force.
func TestLostKeyIsMendedAboveTheRevisionInForce(t *testing.T) {
	is := is.New(t)
	ctx, s := context.Background(), standin.NewStore()
	inForce := &core.AcceptedConfig{Revision: 7, ChangeID: "seventh"}
	_, current, err := applyEdit(ctx, s, inForce, &core.Edit{Revision: 0, ChangeID: "stale"})
	is.True(errors.Is(err, status.ErrConfigConflict))
	is.Equal(current.Revision, int64(7))
	done, _, err := applyEdit(ctx, s, inForce, &core.Edit{Revision: 7, ChangeID: "next"})
	is.NoErr(err)
	is.Equal(done.Revision, int64(8))
	_, err = s.Put(ctx, platform.Write{Key: coreplatform.ConfigKey, Value: []byte(`[]`), Expect: storeRevision(t, s)})
	is.NoErr(err)
	_, _, err = applyEdit(ctx, s, done, &core.Edit{Revision: 8, ChangeID: "last"})
	is.True(errors.Is(err, status.ErrConfigUnusable)) // by hand, by mistake
}

func storeRevision(t *testing.T, s platform.Store) int64 {
	t.Helper()
	e, err := s.Get(context.Background(), coreplatform.ConfigKey)
	if err != nil {
		t.Fatal(err)
	}
	return e.Revision
}
