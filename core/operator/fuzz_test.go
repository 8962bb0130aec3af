package operator

import (
	"os"
	"testing"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
)

// Whatever arrives, a document is accepted or refused with codes.
func FuzzDocument(f *testing.F) {
	example, err := os.ReadFile("../../examples/kettle-valley.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte(`{"format":"rosemarygap-config-1","cells":-1}`))
	f.Add([]byte(`{"timings":{"tick":250}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var d Document
		err := wire.Unmarshal(b, &d)
		if err != nil && status.CodeOf(err) == status.ErrInternal.Code() {
			t.Fatalf("refused without a code: %v", err)
		}
		for _, fault := range Check(&d) {
			if fault.Code == "" || fault.Path == "" {
				t.Fatalf("fault without code or path: %+v", fault)
			}
		}
	})
}
