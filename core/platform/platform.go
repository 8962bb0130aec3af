// Package platform names what rosemarygap keeps in the platform's key-value
// service and the form of the journal of a cell.
//
// Invariant: a journal entry is written with compare-and-swap on the revision
// of the slot that it reuses, so of two writers of one sequence number only
// one succeeds, however late the other's write arrives.
package platform

import (
	"fmt"
	"strconv"
	"strings"
)

// Prefixes of the keys that entries watch, and of the journals.
const (
	// ControlPrefix covers all that every entry watches.
	ControlPrefix = "control/"
	// ConfigKey holds the accepted configuration.
	ConfigKey = ControlPrefix + "config"
	// EntryPrefix holds one leased key for each entry.
	EntryPrefix = ControlPrefix + "entries/"
	// OwnerPrefix holds one leased key for each cell that has an owner.
	OwnerPrefix = ControlPrefix + "owners/"
)

// ChangeKey holds the latest caller.Change of the members that decide on
// callers' ids. Nobody watches it.
const CallerChangeKey = "claims/change"

// EntryKey returns the key that registers an entry.
func EntryKey(id string) string { return EntryPrefix + id }

// OwnerKey returns the key that names the owner of a cell.
func OwnerKey(cell int) string { return OwnerPrefix + strconv.Itoa(cell) }

// CellOf parses an owner key; ok is false for any other key.
func ParseOwnerKey(key string) (cell int, ok bool) {
	s, found := strings.CutPrefix(key, OwnerPrefix)
	if !found {
		return 0, false
	}
	n, err := strconv.Atoi(s)
	return n, err == nil
}

// EpochKey returns the key that counts the ownerships of a cell.
func EpochKey(cell int) string { return fmt.Sprintf("cells/%d/epoch", cell) }

// SnapshotKey returns the key of a cell's snapshot.
func SnapshotKey(cell int) string { return fmt.Sprintf("cells/%d/snapshot", cell) }

// LogSlots is the number of keys that hold the journal of a cell. Entry seq
// stands in slot seq modulo LogSlots until a snapshot covers it.
const JournalSlots = 256

// LogKey returns the key of one slot of a cell's journal.
func JournalSlotKey(cell int, slot int64) string {
	return fmt.Sprintf("cells/%d/log/%03d", cell, slot)
}

// Owner is the value of an owner key.
type Owner struct {
	Entry string `json:"entry"`
	// Instance tells two processes with the same name apart.
	Instance string `json:"instance"`
	Epoch    int64  `json:"epoch"`
	Address  string `json:"address"`
}

// Batch is one journal entry: all decisions of one tick.
type RecordBatch[R any] struct {
	Seq     int64  `json:"seq"`
	Epoch   int64  `json:"epoch"`
	Owner   string `json:"owner"`
	Nonce   string `json:"nonce"`
	Records []R    `json:"records"`
}

// Sizes of values, in bytes. The service takes values of up to a megabyte.
const (
	// MaxValue bounds every value that is written.
	MaxValueBytes = 1_000_000
	// MaxRecords bounds the records of one batch, and the rows of one part
	// of a snapshot, in their JSON form.
	MaxRecordsBytes = 800_000
)

// PartKey returns the key of one further part of the snapshot at seq by the
// owner with the given epoch. No other snapshot has parts of the same name.
func SnapshotPartKey(cell int, epoch, seq int64, part int) string {
	return fmt.Sprintf("cells/%d/snapshot/%d-%d/%03d", cell, epoch, seq, part)
}

// Snapshot is the state of a cell after the journal entry Seq, or its first
// part.
type Snapshot[S any] struct {
	Seq   int64 `json:"seq"`
	Epoch int64 `json:"epoch"`
	State S     `json:"state"`
	// More names the keys of the further parts.
	PartKeys []string `json:"more,omitempty"`
}
