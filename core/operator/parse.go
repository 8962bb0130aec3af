package operator

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
)

// Parse decodes a document and returns all its faults at once: the violations of
// the JSON syntax and the schema, and the faults that Check finds in the other
// values. A document without faults may take effect.
func Parse(b []byte) (*Document, []Fault) {
	if len(b) > wire.MaxControlBody {
		return nil, []Fault{{status.ErrBodyTooLarge.Code(), "document", ""}}
	}
	tree, faults, ok := scan(b)
	if !ok {
		return nil, faults
	}
	faults = append(faults, withoutCovered(faults, validateSchema(tree))...)
	d, err := decodeWithout(tree, faults)
	if err != nil {
		path, value := status.DetailOf(err)
		return nil, append(faults, Fault{status.CodeOf(err), path, value})
	}
	faults = append(faults, withoutCovered(faults, Check(d))...)
	slices.SortStableFunc(faults, compareFaults)
	return d, faults
}

func compareFaults(a, b Fault) int {
	return cmp.Or(strings.Compare(a.Path, b.Path), strings.Compare(string(a.Code), string(b.Code)))
}

// withoutCovered returns the elements of more whose paths don't lie at or within
// the path of an element of faults.
func withoutCovered(faults, more []Fault) []Fault {
	return slices.DeleteFunc(more, func(m Fault) bool {
		return slices.ContainsFunc(faults, func(f Fault) bool { return covers(f.Path, m.Path) })
	})
}

// covers reports whether path equals outer or lies within it.
func covers(outer, path string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

// decodeWithout decodes tree without the values at the paths of faults. The empty
// path is that of the whole document.
func decodeWithout(tree any, faults []Fault) (*Document, error) {
	bad := make(map[string]bool, len(faults))
	for _, f := range faults {
		bad[f.Path] = true
	}
	var d Document
	if bad[""] {
		return &d, nil
	}
	b, err := json.Marshal(prune(tree, "", bad))
	if err != nil {
		return nil, err
	}
	return &d, wire.Unmarshal(b, &d)
}

// prune returns a copy of tree without the values at bad paths. A removed array
// element becomes null, so that the other elements keep their indexes. Keys are
// truncated for the comparison, as in the paths of schema faults.
func prune(tree any, path string, bad map[string]bool) any {
	switch v := tree.(type) {
	case object:
		out := make(object, len(v))
		for k, m := range v {
			if at := memberPath(path, truncate(k)); !bad[at] {
				out[k] = prune(m, at, bad)
			}
		}
		return out
	case list:
		out := make(list, len(v))
		for i, m := range v {
			if at := elementPath(path, i); !bad[at] {
				out[i] = prune(m, at, bad)
			}
		}
		return out
	}
	return tree
}
