package operator

import (
	"testing"

	"rosemarygap/io/golden"
)

// TestMain fixes the seed, so that a verdict is the same in every run.
func TestMain(m *testing.M) { golden.FixSeed(m, "") }
