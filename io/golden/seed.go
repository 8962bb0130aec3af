package golden

import (
	"flag"
	"os"
	"testing"
)

// FixSeed runs the tests of a package and exits. It sets flags of package
// pgregory.net/rapid, which runs the property tests: the seed is 1, so that every
// run gives the same result; failing cases are not written to files; and the number
// of cases is checks, where the empty string keeps the default of rapid. Flags on the
// command line take precedence.
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
