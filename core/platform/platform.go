// Package platform defines the keys and values that rosemarygap stores in the
// platform's key-value service, including the journal of a cell.
//
// Invariant: a record batch is written to the journal with compare-and-swap on the
// revision of the slot that it overwrites. Of two writers of the same sequence
// number only one succeeds, no matter how late the write of the other arrives.
package platform

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys and key prefixes that entries watch.
const (
	// ControlPrefix is the prefix of all keys that every entry watches.
	ControlPrefix = "control/"
	// ConfigKey is the key of the accepted configuration.
	ConfigKey = ControlPrefix + "config"
	// EntryPrefix is the prefix of the registrations: one leased key per entry.
	EntryPrefix = ControlPrefix + "entries/"
	// OwnerPrefix is the prefix of the cell owners: one leased key per cell that
	// has an owner.
	OwnerPrefix = ControlPrefix + "owners/"
)

// CallerChangeKey is the key of the latest change of the set of entries that decide
// whether a request id of a caller is a repeat. No process watches it.
const ClaimViewChangeKey = "claims/change"

// EntryKey returns the key that registers an entry.
func EntryKey(id string) string { return EntryPrefix + id }

// OwnerKey returns the key of the owner of a cell.
func OwnerKey(cell int) string { return OwnerPrefix + strconv.Itoa(cell) }

// ParseOwnerKey returns the cell of an owner key. The result ok is false for any
// other key.
func ParseOwnerKey(key string) (cell int, ok bool) {
	s, found := strings.CutPrefix(key, OwnerPrefix)
	if !found {
		return 0, false
	}
	n, err := strconv.Atoi(s)
	return n, err == nil
}

// EpochKey returns the key of a cell's ownership epoch, which increases with each new
// owner.
func EpochKey(cell int) string { return fmt.Sprintf("cells/%d/epoch", cell) }

// SnapshotKey returns the key of a cell's snapshot.
func SnapshotKey(cell int) string { return fmt.Sprintf("cells/%d/snapshot", cell) }

// JournalSlots is the number of keys that form the ring of a cell's journal. The batch
// with sequence number seq stays in slot seq modulo JournalSlots until a snapshot
// covers it.
const JournalSlots = 256

// JournalSlotKey returns the key of one slot of a cell's journal.
func JournalSlotKey(cell int, slot int64) string {
	return fmt.Sprintf("cells/%d/log/%03d", cell, slot)
}

// Owner is the value of an owner key: the entry that owns the cell.
type Owner struct {
	Entry string `json:"entry"`
	// Instance distinguishes processes with the same entry id.
	Instance string `json:"instance"`
	Epoch    int64  `json:"epoch"`
	Address  string `json:"address"`
}

// RecordBatch is one journal entry: the records of all decisions of one tick.
type RecordBatch[R any] struct {
	Seq     int64  `json:"seq"`
	Epoch   int64  `json:"epoch"`
	Owner   string `json:"owner"`
	Nonce   string `json:"nonce"`
	Records []R    `json:"records"`
}

// Maximum sizes of values. The service accepts values of up to a megabyte.
const (
	// MaxValueBytes is the maximum size of every value that is written.
	MaxValueBytes = 1_000_000
	// MaxRecordsBytes is the maximum JSON size of the records of one batch, and
	// of the rows of one part of a snapshot.
	MaxRecordsBytes = 800_000
)

// SnapshotPartKey returns the key of one additional part of the snapshot at seq by the
// owner with the given epoch. The key is unique to this snapshot.
func SnapshotPartKey(cell int, epoch, seq int64, part int) string {
	return fmt.Sprintf("cells/%d/snapshot/%d-%d/%03d", cell, epoch, seq, part)
}

// Snapshot is the state of a cell after the batch with sequence number Seq, or the
// first part of that state.
type Snapshot[S any] struct {
	Seq   int64 `json:"seq"`
	Epoch int64 `json:"epoch"`
	State S     `json:"state"`
	// PartKeys are the keys of the additional parts.
	PartKeys []string `json:"more,omitempty"`
}
