package operator

import (
	"strconv"

	"rosemarygap/core/status"
)

// CheckEdit refuses a change that the work in progress would not survive. The
// number of cells decides which journal keeps a job and which owner a worker
// obeys, so it stays as it was first accepted.
func CheckEdit(now *Accepted, next *Document) error {
	if now.Revision > 0 && now.Document.Cells != next.Cells {
		return status.At(status.ErrCellsFixed, "cells", strconv.Itoa(next.Cells))
	}
	return nil
}
