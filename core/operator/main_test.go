package operator

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that a verdict is the same in every run.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
