// Package peer holds what entries tell one another and how they agree on a
// preferred entry without asking: rendezvous hashing over the same member list.
// It owns no state.
package peer

import (
	"net/netip"
	"strconv"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/operator"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"

	"github.com/cespare/xxhash/v2"
)

// Member is one entry as registered in the platform's store.
type Member struct {
	ID string `json:"id"`
	// Incarnation is the time at which the process started, in nanoseconds
	// since 1970.
	Incarnation int64          `json:"incarnation"`
	Zone        string         `json:"zone"`
	Address     netip.AddrPort `json:"address"`
	Operator    netip.AddrPort `json:"operator-address"`
}

// Score ranks a member for a key; the highest score is preferred.
func Score(key, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Preferred returns the member with the highest score for key, or "" if
// there are no members.
func Preferred(key string, members []string) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		if s := Score(key, m); best == "" || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// CellOfJob maps a job to the cell that keeps it.
func CellOfJob(id string, cells int) int { return cellOf("job/"+id, cells) }

// CellOfWorker maps a worker to the cell that places work on it.
func CellOfWorker(id string, cells int) int { return cellOf("worker/"+id, cells) }

func cellOf(key string, cells int) int {
	best, bestScore := 0, uint64(0)
	for i := range cells {
		if s := Score(key, strconv.Itoa(i)); i == 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// WorkerNotice is a worker's announcement of itself.
type WorkerNotice struct {
	ID          string         `json:"id"`
	Zone        string         `json:"zone"`
	Rack        string         `json:"rack"`
	Address     netip.AddrPort `json:"address"`
	Incarnation int64          `json:"incarnation"`
}

// AgedWorker is a worker's announcement with its age at the sender.
type AgedWorker struct {
	Notice WorkerNotice  `json:"notice"`
	Age    wire.Duration `json:"age"`
}

// Exchange is what one entry sends to another; the answer has the same form.
type Exchange struct {
	From      string             `json:"from"`
	Config    *operator.Accepted `json:"config,omitempty"`
	Revision  int64              `json:"config-revision"`
	Endpoints []endpoint.Aged    `json:"endpoints,omitempty"`
	Workers   []AgedWorker       `json:"workers,omitempty"`
	// Transfers and Wants of the sender's cells move quota between cells.
	Transfers []worker.Transfer `json:"quota-transfers,omitempty"`
	Wants     []worker.Want     `json:"quota-wants,omitempty"`
}
