package operator

import (
	"encoding/json"
	"slices"
	"strconv"

	"rosemarygap/core/status"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// maxRecent is how many changes an accepted configuration remembers. At a
// thousand changes a day it covers more than an hour, far longer than any
// client goes on asking for the fate of its change.
const maxRecent = 64

// MaxAccepted is the largest stored configuration, in bytes. The platform's
// store holds values up to a megabyte.
const MaxConfigBytes = 960 << 10

// Change is what an accepted configuration remembers of one change.
type Change struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
	// Digest tells a repeated change from another one with the same id.
	Digest string `json:"digest"`
}

// Edit is a change that an operator asks for.
type Edit struct {
	// Revision is the one that the document was edited from.
	Revision int64    `json:"revision"`
	ChangeID string   `json:"change-id"`
	Document Document `json:"document"`
}

// Verdict says what an edit comes to.
type EditOutcome int

// Verdicts on an edit.
const (
	// Write means that the edit may be written as the next revision.
	EditCommit EditOutcome = iota
	// Done means that the edit took effect before.
	EditAlreadyApplied
	// Conflict means that another change took effect since Edit.Revision.
	EditConflict
	// Reused means that another change took effect under the same id.
	EditIDReused
)

// Decide returns what an edit comes to when now is the newest configuration.
// With Write and Done it also returns the edit as accepted. The history in
// now keeps the answer right after later changes, so that a repeated edit is
// never written twice and never called a conflict.
func EvaluateEdit(now *AcceptedConfig, e *Edit) (EditOutcome, *AcceptedConfig, error) {
	digest, err := digestOf(&e.Document)
	if err != nil {
		return EditConflict, nil, err
	}
	for _, c := range now.RecentChanges {
		if c.ID != e.ChangeID {
			continue
		}
		if c.Digest != digest {
			return EditIDReused, nil, nil
		}
		return EditAlreadyApplied, &AcceptedConfig{Revision: c.Revision, ChangeID: c.ID, Document: e.Document}, nil
	}
	if now.Revision != e.Revision {
		return EditConflict, nil, nil
	}
	if err := CheckEdit(now, &e.Document); err != nil {
		return EditConflict, nil, err
	}
	next := &AcceptedConfig{Revision: now.Revision + 1, ChangeID: e.ChangeID, Document: e.Document}
	next.RecentChanges = append(next.RecentChanges, Change{e.ChangeID, next.Revision, digest})
	next.RecentChanges = append(next.RecentChanges, now.RecentChanges[:min(len(now.RecentChanges), maxRecent-1)]...)
	return EditCommit, next, nil
}

// CheckEdit refuses a change that the work in progress would not survive. The
// number of cells decides which journal keeps a job and which owner a worker
// obeys, so it stays as it was first accepted.
func CheckEdit(now *AcceptedConfig, next *Document) error {
	if now.Revision > 0 && now.Document.Cells != next.Cells {
		return status.At(status.ErrCellsFixed, "cells", strconv.Itoa(next.Cells))
	}
	return nil
}

// Includes reports whether the change with this id is among the latest ones.
func (a *AcceptedConfig) HasRecentChange(changeID string) bool {
	return slices.ContainsFunc(a.RecentChanges, func(c Change) bool { return c.ID == changeID })
}

func digestOf(d *Document) (string, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return "", errors.Wrap(err, "encode document")
	}
	return strconv.FormatUint(xxhash.Sum64(b), 16), nil
}

// Newest returns the accepted configuration with the higher revision; either
// may be nil. It is the only rule by which a process changes what is in
// force, so that no process returns to a lower revision.
func Newest(a, b *AcceptedConfig) *AcceptedConfig {
	if a == nil || (b != nil && b.Revision > a.Revision) {
		return b
	}
	return a
}

// Usable returns nil if a may be put in force: what the store or another
// entry holds is checked as what an operator sends.
func CheckAccepted(a *AcceptedConfig) error {
	if a.Revision < 1 {
		return status.At(status.ErrOutOfRange, "revision", strconv.FormatInt(a.Revision, 10))
	}
	if faults := Check(&a.Document); len(faults) > 0 {
		return status.At(status.ErrConfigInvalid, faults[0].Path, faults[0].Value)
	}
	return nil
}
