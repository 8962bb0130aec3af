package golden

import (
	"flag"
	"os"
	"testing"
)

// FixSeed runs a package's tests with the property tests' seed fixed to 1, so
// that the verdict is the same in every run, and with the given number of
// cases; empty is the library's own. The command line goes first.
func FixSeed(m *testing.M, checks string) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	set := func(name, value string) {
		if value == "" || given[name] {
			return
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	set("rapid.seed", "1")
	set("rapid.nofailfile", "true")
	set("rapid.checks", checks)
	os.Exit(m.Run())
}
