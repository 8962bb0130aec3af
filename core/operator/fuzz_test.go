package operator

import (
	"os"
	"testing"
)

// FuzzDocument checks that Parse accepts or rejects any input, that each fault has
// a code other than internal, and that an accepted document passes Check.
func FuzzDocument(f *testing.F) {
	example, err := os.ReadFile("../../examples/kettle-valley.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte(`{"format":"rosemarygap-config-1","cells":-1}`))
	f.Add([]byte(`{"timings":{"tick":250},"cells":1e999999999}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"":{"":[{}]},"services":[null,{}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, faults := Parse(b)
		for _, fault := range faults {
			if fault.Code == "" || fault.Code == "internal" {
				t.Fatalf("fault has no specific code: %+v", fault)
			}
		}
		if len(faults) == 0 && len(Check(d)) > 0 {
			t.Fatalf("Parse accepted a document in which Check finds faults: %+v", Check(d))
		}
	})
}
