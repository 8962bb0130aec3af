package operator

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The fault of a duplicate key is as short as that of any other value, however long the
// key is: faults are logged and shown on pages.
func TestDuplicateKeyIsTruncated(t *testing.T) {
	is := is.New(t)
	key := strings.Repeat("k", 10*maxValueBytes)
	_, faults := Parse([]byte(`{"` + key + `":1,"` + key + `":2}`))
	is.True(len(faults) > 0)
	for _, f := range faults {
		is.True(len(f.Path) <= maxValueBytes)
		is.True(len(f.Value) <= maxValueBytes)
	}
}
