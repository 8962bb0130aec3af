package operator

import (
	"encoding/json"
	"reflect"

	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// Merge applies the changes from base to edited to the document current, all
// three as JSON text, field by field. Where both changed a field, edited
// wins. Elements of lists are matched by their names. The texts need not be
// valid documents: what an operator typed is kept as it is.
func Merge(base, current, edited []byte) ([]byte, error) {
	var trees [3]any
	for i, text := range [][]byte{base, current, edited} {
		tree, _, ok := scan(text)
		if !ok {
			return nil, status.At(status.ErrMalformedJSON, "document", "")
		}
		trees[i] = tree
	}
	b, err := json.Marshal(merge(trees[0], trees[1], trees[2]))
	return b, errors.Wrap(err, "encode document")
}

// merge returns the value that base, current and edited come to; nil is
// absent.
func merge(base, current, edited any) any {
	switch {
	case reflect.DeepEqual(edited, base):
		return current
	case reflect.DeepEqual(current, base):
		return edited
	}
	c, isObject := current.(object)
	e, both := edited.(object)
	if isObject && both {
		b, _ := base.(object)
		return mergeObjects(b, c, e)
	}
	cl, isList := listOrAbsent(current)
	el, both := listOrAbsent(edited)
	if isList && both && named(cl) && named(el) {
		bl, _ := base.(list)
		return mergeLists(bl, cl, el)
	}
	return edited
}

// listOrAbsent returns v as a list; an absent one is empty.
func listOrAbsent(v any) (list, bool) {
	l, ok := v.(list)
	return l, ok || v == nil
}

func mergeObjects(b, c, e object) object {
	out := object{}
	for k := range c {
		out[k] = merge(b[k], c[k], e[k])
	}
	for k := range e {
		out[k] = merge(b[k], c[k], e[k])
	}
	for k, v := range out {
		if v == nil {
			delete(out, k)
		}
	}
	return out
}

// mergeLists keeps the order of c and appends what e alone has.
func mergeLists(b, c, e list) list {
	base, current, edited := members(b), members(c), members(e)
	out := list{}
	for i, v := range c {
		if m := merge(base[nameOf(v, i)], v, edited[nameOf(v, i)]); m != nil {
			out = append(out, m)
		}
	}
	for i, v := range e {
		name := nameOf(v, i)
		if _, ok := current[name]; ok {
			continue
		}
		if m := merge(base[name], nil, v); m != nil {
			out = append(out, m)
		}
	}
	return out
}

// named reports whether every element of l has a name of its own, so that no
// element is lost when they are matched by name.
func named(l list) bool {
	seen := make(map[string]bool, len(l))
	for _, v := range l {
		name, ok := v.(string)
		if o, isObject := v.(object); isObject {
			name, ok = o["name"].(string)
		}
		if !ok || seen[name] {
			return false
		}
		seen[name] = true
	}
	return true
}
