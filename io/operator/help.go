package operator

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	core "rosemarygap/core/operator"
)

// documentHelp returns the description that the schema gives for each field of
// the document, by the name of the field.
var documentHelp = sync.OnceValue(func() map[string]string {
	var tree any
	out := make(map[string]string)
	if json.Unmarshal(core.Schema(), &tree) == nil {
		collectHelp(tree, out)
	}
	return out
})

// collectHelp adds the descriptions in a subtree of the schema to out. If several
// fields have the same name, any one of their descriptions is used, since the order
// of map iteration is random.
func collectHelp(tree any, out map[string]string) {
	o, ok := tree.(map[string]any)
	if !ok {
		return
	}
	// The order is fixed, since fields of several kinds of object have the same name.
	for _, k := range slices.Sorted(maps.Keys(o)) {
		v := o[k]
		if p, ok := v.(map[string]any); ok {
			if d, ok := p["description"].(string); ok && out[k] == "" {
				out[k] = d
			}
		}
		collectHelp(v, out)
	}
}
