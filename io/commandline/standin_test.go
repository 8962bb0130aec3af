package commandline

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestProgramLinksNoStandin checks that the production program links none of the
// test substitutes in io/standin.
func TestProgramLinksNoStandin(t *testing.T) {
	is := is.New(t)
	out, err := exec.Command("go", "list", "-deps", "rosemarygap/cmd/rosemarygap").Output()
	is.NoErr(err)
	is.True(strings.Contains(string(out), "rosemarygap/io/entry"))
	is.True(!strings.Contains(string(out), "rosemarygap/io/standin"))
}
