package operator

import (
	"encoding/json"
	"slices"
	"strconv"

	"rosemarygap/core/status"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// maxRecentChanges is the maximum number of changes that an AcceptedConfig
// records. At 1000 changes a day they cover more than an hour, far longer than any
// client keeps retrying a change whose outcome it doesn't know.
const maxRecentChanges = 64

// MaxConfigBytes is the maximum size of a stored configuration. The platform's
// store accepts values of up to a megabyte.
const MaxConfigBytes = 960 << 10

// Change is the record of one change in an AcceptedConfig.
type Change struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
	// Digest distinguishes a retry of the change from a different change with
	// the same id.
	Digest string `json:"digest"`
}

// Edit is a configuration change that an operator requests.
type Edit struct {
	// Revision is the revision that the operator edited.
	Revision int64    `json:"revision"`
	ChangeID string   `json:"change-id"`
	Document Document `json:"document"`
}

// EditOutcome is the result of evaluating an edit.
type EditOutcome int

// Outcomes of an edit.
const (
	// EditCommit means that the edit may be written as the next revision.
	EditCommit EditOutcome = iota
	// EditAlreadyApplied means that the edit took effect earlier.
	EditAlreadyApplied
	// EditConflict means that another change took effect since Edit.Revision.
	EditConflict
	// EditIDReused means that a different change took effect with the same id.
	EditIDReused
)

// EvaluateEdit returns the outcome of an edit when current is the newest
// configuration. For EditCommit and EditAlreadyApplied it also returns the
// configuration that results from the edit; for EditAlreadyApplied that
// configuration has no recent changes. EvaluateEdit finds a retried edit among the
// recent changes in current, also after later changes, so that it is never written
// twice and never reported as a conflict.
func EvaluateEdit(current *AcceptedConfig, e *Edit) (EditOutcome, *AcceptedConfig, error) {
	digest, err := digestOf(&e.Document)
	if err != nil {
		return EditConflict, nil, err
	}
	for _, c := range current.RecentChanges {
		if c.ID != e.ChangeID {
			continue
		}
		if c.Digest != digest {
			return EditIDReused, nil, nil
		}
		return EditAlreadyApplied, &AcceptedConfig{Revision: c.Revision, ChangeID: c.ID, Document: e.Document}, nil
	}
	if current.Revision != e.Revision {
		return EditConflict, nil, nil
	}
	if err := CheckEdit(current, &e.Document); err != nil {
		return EditConflict, nil, err
	}
	next := &AcceptedConfig{Revision: current.Revision + 1, ChangeID: e.ChangeID, Document: e.Document}
	next.RecentChanges = append(next.RecentChanges, Change{e.ChangeID, next.Revision, digest})
	next.RecentChanges = append(next.RecentChanges, current.RecentChanges[:min(len(current.RecentChanges), maxRecentChanges-1)]...)
	return EditCommit, next, nil
}

// CheckEdit returns an error if a change would invalidate existing state. The number
// of cells determines which journal stores a job and which owner controls a
// worker, so it can't change after the first accepted configuration.
func CheckEdit(current *AcceptedConfig, next *Document) error {
	if current.Revision > 0 && current.Document.Cells != next.Cells {
		return status.At(status.ErrCellsFixed, "cells", strconv.Itoa(next.Cells))
	}
	return nil
}

// HasRecentChange reports whether the change with the given id is among the
// recent changes.
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

// Newest returns the configuration with the higher revision. Either argument may
// be nil. Every process replaces its configuration only by this rule, so that no
// process reverts to a lower revision.
func Newest(a, b *AcceptedConfig) *AcceptedConfig {
	if a == nil || (b != nil && b.Revision > a.Revision) {
		return b
	}
	return a
}

// CheckAccepted returns an error if a can't take effect. Configurations from the
// store or from another entry undergo the same checks as those from operators.
func CheckAccepted(a *AcceptedConfig) error {
	if a.Revision < 1 {
		return status.At(status.ErrOutOfRange, "revision", strconv.FormatInt(a.Revision, 10))
	}
	if faults := Check(&a.Document); len(faults) > 0 {
		return status.At(status.ErrConfigInvalid, faults[0].Path, faults[0].Value)
	}
	return nil
}
