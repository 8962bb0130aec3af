package commandline

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"rosemarygap/io/golden"
	"rosemarygap/io/process"

	"github.com/matryer/is"
)

// The logs have a job that waited, was stopped and was overtaken, one that never started and
// one that was refused, beside jobs on time. Lines that cannot be decoded are left out.
func TestDelaysGolden(t *testing.T) {
	is := is.New(t)
	const dir = "testdata/delays/"
	logs := []string{dir + "owner.log", dir + "entry.log"}
	picture := filepath.Join(t.TempDir(), "delays.svg")
	for name, args := range map[string][]string{
		"report.txt":  {"--slowest", "2", "--svg", picture},
		"report.json": {"--json", "--slowest", "1"},
	} {
		var out, stderr bytes.Buffer
		is.Equal(Run(append(append([]string{"delays"}, args...), logs...), &out, &stderr), process.ExitOK)
		golden.Check(t, dir+name+".golden", out.Bytes())
	}
	b, err := os.ReadFile(picture)
	is.NoErr(err)
	golden.Check(t, dir+"report.svg.golden", b)
}

func TestDelaysRefusesBadSettings(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{
		{"delays"},
		{"delays", "testdata/delays/none.log"},
		{"delays", "testdata/delays/owner.log", "--slowest", "-1"},
		{"delays", "testdata/delays/owner.log", "--svg", "testdata/none/x.svg"},
	} {
		var out, stderr bytes.Buffer
		is.Equal(Run(args, &out, &stderr), process.ExitUsage)
	}
}
