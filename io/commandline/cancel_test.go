package commandline

import (
	"testing"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/operator"

	"github.com/matryer/is"
)

// Only jobs that were cancelled count as cancelled in the progress line.
func TestFailedCancellationsAreNotCounted(t *testing.T) {
	body := wire.ErrorBodyOf(status.ErrNotFound)
	is.New(t).Equal(countCancelled([]operator.CancelResult{{}, {ErrorBody: &body}, {}}), 2)
}
