package platform_test

import (
	"testing"
	"time"

	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/worker"
	"rosemarygap/io/platform"
	standin "rosemarygap/io/standin/platform"

	"github.com/matryer/is"
)

// A malformed value of a cell's journal or snapshot must not end the entries that try to
// load the cell: each would end in turn.
func TestMalformedJournalDoesNotPanic(t *testing.T) {
	for name, kv := range map[string][2]string{
		"negative sequence":        {coreplatform.SnapshotKey(0), `{"seq":-7}`},
		"highest sequence":         {coreplatform.SnapshotKey(0), `{"seq":9223372036854775807}`},
		"lowest sequence":          {coreplatform.SnapshotKey(0), `{"seq":-9223372036854775808}`},
		"submission without a job": {coreplatform.JournalSlotKey(0, 1), `{"seq":1,"records":[{"kind":"submitted"}]}`},
		"loan without a total":     {coreplatform.JournalSlotKey(0, 1), `{"seq":1,"records":[{"kind":"quota-lent"},{"kind":"quota-borrowed"}]}`},
		"start of no job":          {coreplatform.JournalSlotKey(0, 1), `{"seq":1,"records":[{"kind":"started","id":"x"},{"kind":"finished"},{}]}`},
		"null":                     {coreplatform.JournalSlotKey(0, 1), `null`},
		"list":                     {coreplatform.SnapshotKey(0), `[]`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := standin.NewStore()
			_, err := store.Put(t.Context(), platform.Write{Key: kv[0], Value: []byte(kv[1])})
			is.NoErr(err)
			j := platform.NewJournal[worker.Record, worker.Snapshot](store, 0, coreplatform.JournalSlots)
			d, err := platform.OpenCell(t.Context(), j, 1, func() *worker.Driver {
				return worker.NewDriver(worker.NewCell(0, worker.Timings{Grant: time.Second, Hold: time.Second}), "entry-1", func() string { return "n" })
			}, time.Now)
			if err == nil {
				is.Equal(len(d.Cell.Jobs()), 0)
			}
		})
	}
}
