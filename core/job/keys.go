package job

import (
	"net/netip"
	"strings"
)

// Keys of the scheduler in the platform's store.
const (
	// KeyRoot is the prefix of all keys of the scheduler.
	KeyRoot = "rosemarygap/"
	// KeyOwner holds the Ownership.
	KeyOwner = KeyRoot + "owner"
	// KeyJournal numbers the owner's writes: each one requires the one before
	// it, so a write that was given up cannot take effect after a later one.
	KeyJournal = KeyRoot + "journal"
	// KeyLessons holds the Lessons of the newest owner.
	KeyLearned = KeyRoot + "lessons"
	// KeyAlive exists while the owner renews its lease.
	KeyOwnerLease = KeyRoot + "alive"

	keyJobs      = KeyRoot + "job/"
	keyProgress  = KeyRoot + "progress/"
	keyCancelled = KeyRoot + "cancelled/"
	keyFinal     = KeyRoot + "final/"
	keyAgents    = KeyRoot + "agent/"
)

// JobKey holds a live Job; it is never changed.
func JobKey(id string) string { return keyJobs + id }

// ProgressKey holds the Progress of a live job.
func ProgressKey(id string) string { return keyProgress + id }

// CancelledKey exists once a live job's cancellation is durable.
func CancelledKey(id string) string { return keyCancelled + id }

// FinalKey holds the Final of a job that has ended.
func FinalKey(id string) string { return keyFinal + id }

// AgentKey exists for each agent that may have received orders.
func AgentKey(agent string) string { return keyAgents + agent }

// KeyKind tells what a key holds.
type KeyKind int

// Kinds of keys.
const (
	KeyKindOther KeyKind = iota
	KeyKindOwner
	KeyKindOwnerLease
	KeyKindLearned
	KeyKindJob
	KeyKindProgress
	KeyKindCancelled
	KeyKindFinal
	KeyKindAgent
)

// SplitKey returns what a key holds and the id or name in it.
func ParseKey(key string) (KeyKind, string) {
	switch key {
	case KeyOwner:
		return KeyKindOwner, ""
	case KeyOwnerLease:
		return KeyKindOwnerLease, ""
	case KeyLearned:
		return KeyKindLearned, ""
	}
	for _, k := range []struct {
		prefix string
		kind   KeyKind
	}{
		{keyJobs, KeyKindJob}, {keyProgress, KeyKindProgress}, {keyCancelled, KeyKindCancelled},
		{keyFinal, KeyKindFinal}, {keyAgents, KeyKindAgent},
	} {
		if id, ok := strings.CutPrefix(key, k.prefix); ok {
			return k.kind, id
		}
	}
	return KeyKindOther, ""
}

// Ownership names who schedules.
type Ownership struct {
	// Epoch rises with each ownership; it is the fencing token.
	Epoch  int64  `json:"epoch"`
	Holder string `json:"holder"`
	// Process tells the lives of a holder apart.
	Process int64 `json:"process"`
	// Address is where agents report.
	Address netip.AddrPort `json:"address"`
}

// JournalMark is the value of KeyJournal.
type JournalPosition struct {
	Epoch  int64 `json:"epoch"`
	Number int64 `json:"number"`
}
