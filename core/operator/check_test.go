package operator

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/golden"

	"github.com/matryer/is"
)

func example(t *testing.T) *Document {
	t.Helper()
	b, err := os.ReadFile("../../examples/kettle-valley.json")
	if err != nil {
		t.Fatal(err)
	}
	var d Document
	if err := wire.Unmarshal(b, &d); err != nil {
		t.Fatal(err)
	}
	return &d
}

func TestCheckAcceptsExample(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Check(example(t))), 0)
}

// TestGoldenFaults compares all faults of a document that is invalid in many ways
// with a golden file.
func TestGoldenFaults(t *testing.T) {
	is := is.New(t)
	d := example(t)
	d.Format = "other"
	d.Cells = 0
	d.Services = append(d.Services, d.Services[0], Service{Name: strings.ToUpper("bad")})
	d.Rules = append(d.Rules, Rule{Name: "r", Class: "none", AvoidService: "none"})
	d.Timings.Tick = 0
	b, err := json.MarshalIndent(Check(d), "", "  ")
	is.NoErr(err)
	golden.Check(t, "testdata/faults.json", append(b, '\n'))
}

func TestCellCountCannotChange(t *testing.T) {
	is := is.New(t)
	current := &AcceptedConfig{Revision: 1, Document: Document{Cells: 2}}
	is.True(errors.Is(CheckEdit(current, &Document{Cells: 3}), status.ErrCellsFixed))
	is.NoErr(CheckEdit(current, &Document{Cells: 2}))
	is.NoErr(CheckEdit(&AcceptedConfig{}, &Document{Cells: 3}))
}
