package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawDocument draws a document from few names and values, so that different
// documents often share them.
func drawDocument(t *rapid.T, name string) *Document {
	d := &Document{Format: Format, Cells: rapid.IntRange(1, 3).Draw(t, name+"-cells"), Services: []Service{},
		Classes: []Class{}, Rules: []Rule{}, Teams: []Team{}}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 0, 4, rapid.ID[int]).Draw(t, name+"-teams") {
		q := Quota{rapid.IntRange(0, 2).Draw(t, "p"), int64(rapid.IntRange(0, 2).Draw(t, "m")), 0}
		d.Teams = append(d.Teams, Team{fmt.Sprintf("team-%d", i), q})
	}
	d.Draining = rapid.SampledFrom([][]string{nil, {"a"}, {"a", "b"}}).Draw(t, name+"-draining")
	return d
}

// TestMergeTakesEachChange checks that each field of a merge has the edited value
// if it was edited and the current value otherwise, and that no other fields
// appear.
func TestMergeTakesEachChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, current, edited := drawDocument(t, "base"), drawDocument(t, "current"), drawDocument(t, "edited")
		var texts [3][]byte
		for i, d := range []*Document{base, current, edited} {
			texts[i], _ = json.Marshal(d)
		}
		b, err := Merge(texts[0], texts[1], texts[2])
		if err != nil {
			t.Fatal(err)
		}
		var merged Document
		if err := json.Unmarshal(b, &merged); err != nil {
			t.Fatal(err)
		}
		editedFields, currentFields := fieldsOf(Diff(base, edited)), fieldsOf(Diff(base, current))
		for path, d := range fieldsOf(Diff(edited, &merged)) {
			if _, changed := editedFields[path]; changed {
				t.Fatalf("%s: edited to %q, but merged to %q", path, d.Current, d.Edited)
			}
			if currentFields[path].Edited != d.Edited {
				t.Fatalf("%s: merged to %q, which is neither the edited nor the current value", path, d.Edited)
			}
		}
		for path := range fieldsOf(Diff(current, &merged)) {
			if _, changed := editedFields[path]; !changed && !restored(path, editedFields, currentFields) {
				t.Fatalf("%s: changed by the merge but not by the edit", path)
			}
		}
	})
}

// restored reports whether path lies in an element that current removed and that
// was edited. The merge keeps such an element as a whole.
func restored(path string, editedFields, currentFields map[string]Difference) bool {
	element, _, ok := strings.Cut(path, "]")
	if !ok || currentFields[path].Edited != "" {
		return false
	}
	for p := range editedFields {
		if strings.HasPrefix(p, element+"]") {
			return true
		}
	}
	return false
}

func fieldsOf(ds []Difference) map[string]Difference {
	out := map[string]Difference{}
	for _, d := range ds {
		out[d.Path] = d
	}
	return out
}
