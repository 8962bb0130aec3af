package operator

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	core "rosemarygap/core/operator"
)

// The help text of a field must be the same in every process. Fields of several kinds
// of object can have the same name, such as name, and different descriptions. If the
// order of map iteration decides which description is used, the console shows the
// description of a random kind of object.
func TestHelpTextIsDeterministic(t *testing.T) {
	const collections = 100
	// texts maps the name of each field to its help texts, each with the number of
	// collections that returned it.
	texts := map[string]map[string]int{}
	for range collections {
		var tree any
		if err := json.Unmarshal(core.Schema(), &tree); err != nil {
			t.Fatal(err)
		}
		help := map[string]string{}
		collectHelp(tree, help)
		if len(help) == 0 {
			t.Fatal("the schema has no descriptions")
		}
		for name, text := range help {
			if texts[name] == nil {
				texts[name] = map[string]int{}
			}
			texts[name][text]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		total := 0
		for _, n := range texts[name] {
			total += n
		}
		if len(texts[name]) != 1 || total != collections {
			t.Errorf("field %s: %d of %d collections have a help text, with %d different texts, want %d with 1 text: %v",
				name, total, collections, len(texts[name]), collections, texts[name])
		}
	}
}
