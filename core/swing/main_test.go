package swing

import (
	"testing"

	"rosemarygap/io/golden"
)

// TestMain fixes the random seed, so that every run has the same result.
func TestMain(m *testing.M) { golden.FixSeed(m, "") }
