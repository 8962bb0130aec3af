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

// TestMain fixes the random seed, so that every run gives the same result.
func TestMain(m *testing.M) { golden.FixSeed(m, "") }

// storeFault is a failure that is injected into one call of the store.
type storeFault string

// Faults that can be injected.
const (
	noFault storeFault = "none"
	// callFailed means that the call fails without effect.
	callFailed storeFault = "call-failed"
	// responseLost means that the write is applied, but its response is lost.
	responseLost storeFault = "response-lost"
	// writeDelayed means that the call fails and the write may be applied later.
	writeDelayed storeFault = "write-delayed"
	// concurrentEdit means that another operator's edit is sent before the write.
	concurrentEdit storeFault = "concurrent-edit"
)

// faultyStore is a store that injects randomly drawn faults into its calls.
type faultyStore struct {
	platform.Store
	draw func(choices ...storeFault) storeFault
	// delayed lists the writes whose calls failed with writeDelayed. Each of them
	// may reach the store later, also more than once.
	delayed []platform.Write
	// editConcurrently performs an edit of another operator between a read and a
	// write.
	editConcurrently func()
	// accepted lists the configurations that were written to the store, in order.
	accepted []core.AcceptedConfig
}

func (s *faultyStore) Get(ctx context.Context, key string) (platform.KeyValue, error) {
	if s.draw(noFault, noFault, noFault, callFailed) == callFailed {
		return platform.KeyValue{}, status.ErrStoreUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) Put(ctx context.Context, w platform.Write) (int64, error) {
	switch s.draw(noFault, callFailed, responseLost, writeDelayed, concurrentEdit) {
	case callFailed:
		return 0, status.ErrStoreUnavailable
	case responseLost:
		_, _ = s.applyWrite(ctx, w)
		return 0, status.ErrStoreUnavailable
	case writeDelayed:
		s.delayed = append(s.delayed, w)
		return 0, status.ErrStoreUnavailable
	case concurrentEdit:
		s.editConcurrently()
	}
	return s.applyWrite(ctx, w)
}

// applyWrite applies a write to the store and, if it succeeds, records the
// configuration in accepted.
func (s *faultyStore) applyWrite(ctx context.Context, w platform.Write) (int64, error) {
	rev, err := s.Store.Put(ctx, w)
	if err == nil {
		var a core.AcceptedConfig
		_ = json.Unmarshal(w.Value, &a)
		s.accepted = append(s.accepted, a)
	}
	return rev, err
}

// editSimulation simulates several operators that send edits to several entries
// with one store.
type editSimulation struct {
	store   *faultyStore
	entries []*core.AcceptedConfig
	edits   []core.Edit
	// reported maps the change id of each edit to its final result, which is done
	// or conflict. An edit without a final result is missing.
	reported            map[string]string
	concurrentEditDepth int
}

// report records the final result of an edit, which must never change.
func (d *editSimulation) report(t *rapid.T, id, result string) {
	if previous := d.reported[id]; previous != "" && previous != result {
		t.Fatalf("change %s was reported as %s, then as %s", id, previous, result)
	}
	d.reported[id] = result
}

// sendEdit sends an edit to an entry and checks the result. Edits of other
// operators may be performed meanwhile.
func (d *editSimulation) sendEdit(t *rapid.T, entry int, e core.Edit) {
	accepted, current, err := applyEdit(context.Background(), d.store, d.entries[entry], &e)
	switch {
	case err == nil:
		d.report(t, e.ChangeID, "done")
		if accepted.Document.Format != e.Document.Format {
			t.Fatalf("result of change %s has another document", e.ChangeID)
		}
	case errors.Is(err, status.ErrConfigConflict):
		d.report(t, e.ChangeID, "conflict")
		if current == nil || current.Revision == e.Revision {
			t.Fatalf("conflict of change %s has no newer revision", e.ChangeID)
		}
	case status.RetryAfterOf(err) == 0:
		t.Fatalf("change %s: error %v has no retry delay", e.ChangeID, err)
	}
}

// deliverConfig delivers an accepted configuration to an entry, as a delayed watch
// would. The revision at the entry must not decrease.
func (d *editSimulation) deliverConfig(t *rapid.T, entry, i int) {
	before := d.entries[entry]
	d.entries[entry] = core.Newest(before, &d.store.accepted[i])
	if before != nil && d.entries[entry].Revision < before.Revision {
		t.Fatalf("entry %d reverted from revision %d", entry, before.Revision)
	}
}

// Operators send concurrent and repeated edits while responses of the store are
// lost and writes are delayed. Each change must take effect at most once, its
// final result must never change and must agree with the store, and revisions must
// increase by one.
func TestEditsTakeEffectOnceWithCorrectResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &editSimulation{entries: make([]*core.AcceptedConfig, 3), reported: map[string]string{}}
		d.store = &faultyStore{Store: standin.NewStore()}
		d.store.draw = func(c ...storeFault) storeFault { return rapid.SampledFrom(c).Draw(t, "fault") }
		entry := func() int { return rapid.IntRange(0, 2).Draw(t, "entry") }
		newEdit := func() {
			e := core.Edit{ChangeID: "change-" + strconv.Itoa(len(d.edits))}
			if n := len(d.store.accepted); n > 0 {
				e.Revision = d.store.accepted[rapid.IntRange(max(0, n-2), n-1).Draw(t, "base")].Revision
			}
			e.Document.Format = e.ChangeID
			d.edits = append(d.edits, e)
			d.sendEdit(t, entry(), e)
		}
		d.store.editConcurrently = func() {
			if d.concurrentEditDepth < 2 {
				d.concurrentEditDepth++
				newEdit()
				d.concurrentEditDepth--
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(*rapid.T) { newEdit() },
			"repeat": func(t *rapid.T) {
				if len(d.edits) > 0 {
					d.sendEdit(t, entry(), rapid.SampledFrom(d.edits).Draw(t, "edit"))
				}
			},
			"late-write-arrives": func(t *rapid.T) {
				if n := len(d.store.delayed); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "write")
					_, _ = d.store.applyWrite(context.Background(), d.store.delayed[i])
				}
			},
			"entry-receives-config": func(t *rapid.T) {
				if n := len(d.store.accepted); n > 0 {
					d.deliverConfig(t, entry(), rapid.IntRange(0, n-1).Draw(t, "config"))
				}
			},
			"entry-restarts": func(*rapid.T) { d.entries[entry()] = nil },
			"":               func(t *rapid.T) { d.check(t) },
		})
		d.resolveAll(t)
	})
}

// check compares the reported results with the changes that took effect.
func (d *editSimulation) check(t *rapid.T) {
	times := map[string]int{}
	for i, a := range d.store.accepted {
		times[a.ChangeID]++
		if a.Revision != int64(i+1) {
			t.Fatalf("configuration %d has revision %d", i, a.Revision)
		}
	}
	for id, n := range times {
		if n != 1 || d.reported[id] == "conflict" {
			t.Fatalf("change %s took effect %d times and was reported as %q", id, n, d.reported[id])
		}
	}
	for id, result := range d.reported {
		if result == "done" && times[id] == 0 {
			t.Fatalf("change %s was reported as done and never took effect", id)
		}
	}
}

// resolveAll applies every delayed write and sends every edit again without
// faults. Each edit must then have a final result.
func (d *editSimulation) resolveAll(t *rapid.T) {
	for _, w := range d.store.delayed {
		_, _ = d.store.applyWrite(context.Background(), w)
	}
	d.store.draw = func(...storeFault) storeFault { return noFault }
	for _, e := range d.edits {
		d.sendEdit(t, 0, e)
		if d.reported[e.ChangeID] == "" {
			t.Fatalf("change %s has no final result", e.ChangeID)
		}
	}
	d.check(t)
}

// After the store lost the configuration, revisions must not start again: the
// next edit must be written above the revision in force. A stored value that is
// not a configuration must be reported as unusable.
func TestLostKeyIsRestoredAboveRevisionInForce(t *testing.T) {
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
	is.True(errors.Is(err, status.ErrConfigUnusable)) // the stored value is an array
}

func storeRevision(t *testing.T, s platform.Store) int64 {
	t.Helper()
	e, err := s.Get(context.Background(), coreplatform.ConfigKey)
	if err != nil {
		t.Fatal(err)
	}
	return e.Revision
}
