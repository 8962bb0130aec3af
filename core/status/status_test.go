package status

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestCodesAreUniqueAndFound(t *testing.T) {
	is := is.New(t)
	seen := map[Code]bool{}
	for _, e := range All() {
		is.True(!seen[e.Code()]) // duplicate code
		seen[e.Code()] = true
		is.True(errors.Is(FromCode(e.Code()), e))
	}
	is.Equal(FromCode("no-such-code"), nil)
}
