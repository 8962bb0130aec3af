// Package golden compares generated pages and the output of tests with golden
// files in the repository, and fixes the seed of property tests.
package golden

import (
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "rewrite golden files")

// Check fails t if the content of the file at path differs from got. With the
// -update flag it writes got to the file instead.
func Check(t *testing.T, path string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) != string(got) {
		t.Errorf("%s is not up to date; run make generate\ngot:\n%s", path, got)
	}
}
