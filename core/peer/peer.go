// Package peer holds what entries tell one another and how they agree on a
// preferred entry without asking: rendezvous hashing over the same member list.
//
// Invariant: what one entry tells another is idempotent, and no relay makes an
// announcement younger. The tables here belong to the control goroutine.
package peer

import (
	"net/netip"
	"strconv"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/interference"
	"rosemarygap/core/operator"
	"rosemarygap/core/rendezvous"
	"rosemarygap/core/worker"
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

// CellOfJob maps a job to the cell that keeps it.
func CellOfJob(id string, cells int) int { return cellOf("job/"+id, cells) }

// CellOfWorker maps a worker to the cell that places work on it.
func CellOfWorker(id string, cells int) int { return cellOf("worker/"+id, cells) }

func cellOf(key string, cells int) int {
	best, bestScore := 0, uint64(0)
	for i := range cells {
		if s := rendezvous.Score(key, strconv.Itoa(i)); i == 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// WorkerNotice is a worker's announcement of itself.
type WorkerAnnouncement struct {
	ID          string         `json:"id"`
	Zone        string         `json:"zone"`
	Rack        string         `json:"rack"`
	Address     netip.AddrPort `json:"address"`
	Incarnation int64          `json:"incarnation"`
	// VM names the VM, if it cannot be told by the IP address.
	VM string `json:"vm,omitempty"`
}

// Exchange is a question of one entry to another: what it knows of itself and
// how much of the other's feeds it has.
type ExchangeRequest struct {
	From Member `json:"from"`
	// Revision is the configuration in force at the asker, or 0.
	Revision int64 `json:"config-revision"`
	// Version names the set of entries that the asker shares with.
	Version   string `json:"version"`
	Endpoints Cursor `json:"endpoints"`
	Workers   Cursor `json:"workers"`
	// Leaving are departures of endpoints that the asker heard of just now.
	Leaving []endpoint.Announcement `json:"leaving,omitempty"`
	// Transfers and Wants of the sender's cells move quota between cells.
	Transfers []worker.QuotaTransfer `json:"quota-transfers,omitempty"`
	Wants     []worker.QuotaRequest  `json:"quota-wants,omitempty"`
	// Interference is what the sender measured and advises.
	Interference interference.Gossip `json:"interference,omitzero"`
}

// Answer is the reply to an Exchange. Ages count from the question.
type ExchangeResponse struct {
	From     Member `json:"from"`
	Revision int64  `json:"config-revision"`
	// Config is left out if the asker has the revision or a higher one.
	Config *operator.AcceptedConfig `json:"config,omitempty"`
	Report ShareReport              `json:"report"`
	// Roster is left out if the asker has the same set of entries.
	Roster    []RosterRow                  `json:"roster,omitempty"`
	Endpoints Delta[endpoint.Announcement] `json:"endpoints"`
	Workers   Delta[WorkerAnnouncement]    `json:"workers"`
	// Transfers and Wants of the sender's cells move quota between cells.
	Transfers []worker.QuotaTransfer `json:"quota-transfers,omitempty"`
	Wants     []worker.QuotaRequest  `json:"quota-wants,omitempty"`
}
