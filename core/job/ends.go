package job

import (
	"cmp"
	"slices"
)

// SortEnds sorts ended runs by their numbers. A worker may list them in any order.
func SortEnds(ends []End) {
	slices.SortFunc(ends, func(a, b End) int { return cmp.Compare(a.Number, b.Number) })
}
