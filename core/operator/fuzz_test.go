package operator

import (
	"os"
	"testing"
)

// Whatever arrives, a document is accepted or refused with codes and paths.
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
				t.Fatalf("fault without a code: %+v", fault)
			}
		}
		if len(faults) == 0 && len(Check(d)) > 0 {
			t.Fatalf("accepted with faults: %+v", Check(d))
		}
	})
}
