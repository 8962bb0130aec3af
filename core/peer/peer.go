// Package peer defines the messages that entries exchange with one another, the
// tables behind them, and the assignment of endpoint slots and cells, which
// all entries with the same member list compute identically by rendezvous hashing.
//
// Invariant: messages between entries are idempotent, and relaying an
// announcement never reduces its age. The tables belong to the control goroutine.
//
// An entry is a process that accepts the requests of callers. The slots of an
// endpoint limit its requests in progress; the share of an entry is the number of
// slots that it may use. A cell is a part of the batch jobs and workers that one
// entry, the owner of the cell, manages.
package peer

import (
	"encoding/json"
	"net/netip"
	"strconv"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/interference"
	"rosemarygap/core/operator"
	"rosemarygap/core/rendezvous"
	"rosemarygap/core/status"
	"rosemarygap/core/worker"

	"github.com/pkg/errors"
)

// Member is the registration of one entry in the platform's store.
type Member struct {
	ID string `json:"id"`
	// Incarnation is the start time of the process in nanoseconds since the
	// Unix epoch.
	Incarnation int64          `json:"incarnation"`
	Zone        string         `json:"zone"`
	Address     netip.AddrPort `json:"address"`
	Operator    netip.AddrPort `json:"operator-address"`
}

// DecodeMember decodes the registration of an entry. The error is status.ErrUnknownRef if the
// value names another entry.
func DecodeMember(id string, value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, errors.Wrapf(err, "decode registration of %q", id)
	}
	if m.ID != id {
		return Member{}, status.At(status.ErrUnknownRef, "id", m.ID)
	}
	return m, nil
}

// CellOfJob returns the cell that stores a job.
func CellOfJob(id string, cells int) int { return cellOf("job/"+id, cells) }

// CellOfWorker returns the cell that places jobs on a worker.
func CellOfWorker(id string, cells int) int { return cellOf("worker/"+id, cells) }

func cellOf(key string, cells int) int {
	best, bestScore := 0, uint64(0)
	for cell := range cells {
		if s := rendezvous.Score(key, strconv.Itoa(cell)); cell == 0 || s > bestScore {
			best, bestScore = cell, s
		}
	}
	return best
}

// WorkerAnnouncement is the periodic announcement that a worker sends to entries.
type WorkerAnnouncement struct {
	ID          string         `json:"id"`
	Zone        string         `json:"zone"`
	Rack        string         `json:"rack"`
	Address     netip.AddrPort `json:"address"`
	Incarnation int64          `json:"incarnation"`
	// VM names the VM if its IP address doesn't identify it.
	VM string `json:"vm,omitempty"`
}

// ExchangeRequest is the request of one entry to another. It describes the sender
// and its positions in the receiver's feeds.
type ExchangeRequest struct {
	From Member `json:"from"`
	// Revision is the revision of the configuration in force at the sender, or 0.
	Revision int64 `json:"config-revision"`
	// Version identifies the set of entries among which the sender computes the
	// shares.
	Version   string `json:"version"`
	Endpoints Cursor `json:"endpoints"`
	Workers   Cursor `json:"workers"`
	// Leaving lists announcements of departing endpoints that the sender received
	// since its last request.
	Leaving []endpoint.Announcement `json:"leaving,omitempty"`
	// QuotaTransfers and QuotaRequests of the sender's cells move quota between cells.
	QuotaTransfers []worker.QuotaTransfer `json:"quota-transfers,omitempty"`
	QuotaRequests  []worker.QuotaRequest  `json:"quota-wants,omitempty"`
	// Interference holds the latest latency report of the sender and the endpoint
	// weights that the sender computed.
	Interference interference.Gossip `json:"interference,omitzero"`
}

// ExchangeResponse is the response to an ExchangeRequest. The receiver counts ages
// from the time at which it sent the request.
type ExchangeResponse struct {
	From     Member `json:"from"`
	Revision int64  `json:"config-revision"`
	// Config is omitted if the requester has this revision or a higher one.
	Config *operator.AcceptedConfig `json:"config,omitempty"`
	Report ShareReport              `json:"report"`
	// Roster is omitted if the requester has the same set of entries.
	Roster    []RosterRow                  `json:"roster,omitempty"`
	Endpoints Delta[endpoint.Announcement] `json:"endpoints"`
	Workers   Delta[WorkerAnnouncement]    `json:"workers"`
	// QuotaTransfers and QuotaRequests of the sender's cells move quota between cells.
	QuotaTransfers []worker.QuotaTransfer `json:"quota-transfers,omitempty"`
	QuotaRequests  []worker.QuotaRequest  `json:"quota-wants,omitempty"`
}
