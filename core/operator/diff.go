package operator

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
)

// Difference is one field whose value differs between two documents. An
// element of a list is named by its name, since its index may differ.
type Difference struct {
	Path string `json:"path"`
	// Current is the value in force; empty if the field is absent there.
	Current string `json:"current"`
	// Edited is the value that the operator sent; empty if absent.
	Edited string `json:"edited"`
}

// Diff returns the fields in which edited differs from current, by path.
func Diff(current, edited *Document) []Difference {
	var d differ
	d.compare("", treeOf(current), treeOf(edited))
	return d.found
}

// DiffText is Diff of two documents as JSON text, valid or not.
func DiffJSON(current, edited []byte) []Difference {
	var d differ
	a, _, _ := scan(current)
	b, _, _ := scan(edited)
	d.compare("", a, b)
	return d.found
}

// treeOf returns the JSON tree of d. A document always encodes.
func treeOf(d *Document) any {
	b, _ := json.Marshal(d)
	tree, _, _ := scan(b)
	return tree
}

type differ struct{ found []Difference }

// compare adds the differences of two values at path; nil is absent.
func (d *differ) compare(path string, a, b any) {
	if reflect.DeepEqual(a, b) {
		return
	}
	x, y := members(a), members(b)
	if x == nil && y == nil {
		d.found = append(d.found, Difference{path, text(a), text(b)})
		return
	}
	keys := make(map[string]bool, len(x)+len(y))
	for k := range x {
		keys[k] = true
	}
	for k := range y {
		keys[k] = true
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		at := member(path, k)
		if _, named := a.(list); named || isList(b) {
			at = path + "[" + k + "]"
		}
		d.compare(at, x[k], y[k])
	}
}

func isList(v any) bool {
	_, ok := v.(list)
	return ok
}

// members returns the values within v by key, or by name for the elements of
// a list; nil if v holds none.
func members(v any) map[string]any {
	switch v := v.(type) {
	case object:
		return v
	case list:
		out := make(map[string]any, len(v))
		for i, e := range v {
			out[nameOf(e, i)] = e
		}
		return out
	}
	return nil
}

func nameOf(e any, i int) string {
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

func text(v any) string {
	if v == nil {
		return ""
	}
	return shown(v)
}
