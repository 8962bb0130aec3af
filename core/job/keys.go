package job

import (
	"net/netip"
	"strings"
)

// Keys of the scheduler in the store of the platform.
const (
	// KeyRoot is the prefix of all keys of the scheduler.
	KeyRoot = "rosemarygap/"
	// KeyOwner holds the current Ownership.
	KeyOwner = KeyRoot + "owner"
	// KeyJournal holds the JournalPosition. Each write of the owner requires
	// the position of the write before it, so an abandoned write cannot take
	// effect after a later one.
	KeyJournal = KeyRoot + "journal"
	// KeyLearned holds the LearnedParameters of the newest owner.
	KeyLearned = KeyRoot + "lessons"
	// KeyOwnerLease exists while the owner renews its lease.
	KeyOwnerLease = KeyRoot + "alive"
	// KeyCancellations is the prefix of the keys of durable cancellations. A key
	// exists until the final state of the job is durable.
	KeyCancellations = KeyRoot + "cancelled/"

	keyJobs     = KeyRoot + "job/"
	keyProgress = KeyRoot + "progress/"
	keyFinal    = KeyRoot + "final/"
	keyAgents   = KeyRoot + "agent/"
)

// JobKey returns the key of a live Job; its value is never changed.
func JobKey(id string) string { return keyJobs + id }

// ProgressKey returns the key of the Progress of a live job.
func ProgressKey(id string) string { return keyProgress + id }

// CancelledKey returns the key that exists once the cancellation of a live job
// is durable.
func CancelledKey(id string) string { return KeyCancellations + id }

// FinalKey returns the key of the Final of a job that has ended.
func FinalKey(id string) string { return keyFinal + id }

// AgentKey returns the key that exists while the agent may have received
// orders.
func AgentKey(agent string) string { return keyAgents + agent }

// KeyKind is the kind of value that a key holds.
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

// ParseKey returns the kind of a key, and the job ID or agent name in it.
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
		{keyJobs, KeyKindJob}, {keyProgress, KeyKindProgress}, {KeyCancellations, KeyKindCancelled},
		{keyFinal, KeyKindFinal}, {keyAgents, KeyKindAgent},
	} {
		if id, ok := strings.CutPrefix(key, k.prefix); ok {
			return k.kind, id
		}
	}
	return KeyKindOther, ""
}

// Ownership identifies the scheduler that is the owner.
type Ownership struct {
	// Epoch increases with each ownership; it is the fencing token.
	Epoch int64 `json:"epoch"`
	// Holder is the name of the owner.
	Holder string `json:"holder"`
	// Process distinguishes the processes of one holder.
	Process int64 `json:"process"`
	// Address is the address to which agents report.
	Address netip.AddrPort `json:"address"`
}

// JournalPosition is the value of KeyJournal: the number of the last write of
// an epoch.
type JournalPosition struct {
	Epoch  int64 `json:"epoch"`
	Number int64 `json:"number"`
}
