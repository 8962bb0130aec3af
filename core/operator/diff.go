package operator

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
)

// Difference is one field whose value differs between two documents. Its path
// identifies list elements by name, since their indexes may differ.
type Difference struct {
	Path string `json:"path"`
	// Current is the value in force, or empty if the field is absent.
	Current string `json:"current"`
	// Edited is the value that the operator sent, or empty if the field is
	// absent.
	Edited string `json:"edited"`
}

// Diff returns the fields in which edited differs from current. They are ordered
// by key at each level of the documents.
func Diff(current, edited *Document) []Difference {
	var d differ
	d.compare("", treeOf(current), treeOf(edited))
	return d.differences
}

// DiffJSON is like Diff for documents given as JSON text. The text need not be a
// valid document. Text that is not JSON counts as an absent document.
func DiffJSON(current, edited []byte) []Difference {
	var d differ
	a, _, _ := scan(current)
	b, _, _ := scan(edited)
	d.compare("", a, b)
	return d.differences
}

// treeOf returns the JSON tree of d. It ignores errors, since encoding a Document
// can't fail.
func treeOf(d *Document) any {
	b, _ := json.Marshal(d)
	tree, _, _ := scan(b)
	return tree
}

type differ struct{ differences []Difference }

// compare appends the differences of the two values at path. A nil value means
// that the field is absent.
func (d *differ) compare(path string, a, b any) {
	if reflect.DeepEqual(a, b) {
		return
	}
	aChildren, bChildren := children(a), children(b)
	if aChildren == nil && bChildren == nil {
		d.differences = append(d.differences, Difference{path, formatOrEmpty(a), formatOrEmpty(b)})
		return
	}
	keys := make(map[string]bool, len(aChildren)+len(bChildren))
	for k := range aChildren {
		keys[k] = true
	}
	for k := range bChildren {
		keys[k] = true
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		at := memberPath(path, k)
		if _, aIsList := a.(list); aIsList || isList(b) {
			at = path + "[" + k + "]"
		}
		d.compare(at, aChildren[k], bChildren[k])
	}
}

func isList(v any) bool {
	_, ok := v.(list)
	return ok
}

// children returns the members of an object by key, or the elements of a list by
// elementKey. It returns nil if v is neither.
func children(v any) map[string]any {
	switch v := v.(type) {
	case object:
		return v
	case list:
		out := make(map[string]any, len(v))
		for i, e := range v {
			out[elementKey(e, i)] = e
		}
		return out
	}
	return nil
}

// elementKey returns the name that identifies list element e: its name field or
// its string value, or else its index i.
func elementKey(e any, i int) string {
	switch e := e.(type) {
	case object:
		if s, ok := e["name"].(string); ok {
			return s
		}
	case string:
		return e
	}
	return strconv.Itoa(i)
}

func formatOrEmpty(v any) string {
	if v == nil {
		return ""
	}
	return formatValue(v)
}
