package golden

import (
	"flag"
	"os"
	"testing"
)

// FixSeed runs the tests of a package and exits. It sets the seed of the property
// tests to 1, so that every run gives the same result, and their number of cases
// to checks; the empty string keeps the default of rapid. Flags on the command
// line take precedence.
func FixSeed(m *testing.M, checks string) {
	flag.Parse()
	explicit := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	setDefault := func(name, value string) {
		if value == "" || explicit[name] {
			return
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	setDefault("rapid.seed", "1")
	setDefault("rapid.nofailfile", "true")
	setDefault("rapid.checks", checks)
	os.Exit(m.Run())
}
