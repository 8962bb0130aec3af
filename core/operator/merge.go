package operator

import (
	"encoding/json"
	"reflect"

	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// Merge performs a three-way merge of JSON texts: it returns current with the
// changes that lead from base to edited, field by field. Where both current and
// edited changed a field, the value in edited is used. List elements are matched by
// name. The texts need not be valid documents, so that invalid input by an operator
// is preserved.
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

// merge returns the three-way merge of a value. A nil value means that the field
// is absent.
func merge(base, current, edited any) any {
	switch {
	case reflect.DeepEqual(edited, base):
		return current
	case reflect.DeepEqual(current, base):
		return edited
	}
	currentObject, currentIsObject := current.(object)
	editedObject, editedOK := edited.(object)
	if currentIsObject && editedOK {
		baseObject, _ := base.(object)
		return mergeObjects(baseObject, currentObject, editedObject)
	}
	currentList, currentIsList := listOrAbsent(current)
	editedList, editedOK := listOrAbsent(edited)
	if currentIsList && editedOK && uniquelyNamed(currentList) && uniquelyNamed(editedList) {
		baseList, _ := base.(list)
		return mergeLists(baseList, currentList, editedList)
	}
	return edited
}

// listOrAbsent returns v as a list and reports whether v is a list or absent. An
// absent list is empty.
func listOrAbsent(v any) (list, bool) {
	l, ok := v.(list)
	return l, ok || v == nil
}

func mergeObjects(base, current, edited object) object {
	out := object{}
	for k := range current {
		out[k] = merge(base[k], current[k], edited[k])
	}
	for k := range edited {
		out[k] = merge(base[k], current[k], edited[k])
	}
	for k, v := range out {
		if v == nil {
			delete(out, k)
		}
	}
	return out
}

// mergeLists keeps the order of currentList and appends the elements that only
// editedList has.
func mergeLists(baseList, currentList, editedList list) list {
	baseByKey, currentByKey, editedByKey := children(baseList), children(currentList), children(editedList)
	out := list{}
	for i, v := range currentList {
		if m := merge(baseByKey[elementKey(v, i)], v, editedByKey[elementKey(v, i)]); m != nil {
			out = append(out, m)
		}
	}
	for i, v := range editedList {
		key := elementKey(v, i)
		if _, ok := currentByKey[key]; ok {
			continue
		}
		if m := merge(baseByKey[key], nil, v); m != nil {
			out = append(out, m)
		}
	}
	return out
}

// uniquelyNamed reports whether every element of l has a distinct name. Otherwise
// matching elements by name would lose some of them.
func uniquelyNamed(l list) bool {
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
