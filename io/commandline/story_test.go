package commandline

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"rosemarygap/io/process"

	"github.com/matryer/is"
)

// TestStoryPrintsLinesOfOneJobInOrder checks that story prints the log lines of
// one job from all files in the order of their timestamps.
func TestStoryPrintsLinesOfOneJobInOrder(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		p := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(p, []byte(text), 0o600))
		return p
	}
	a := write("owner.log", `{"@timestamp":"2026-01-01T00:00:02Z","@message":"task-decided","@module":"scheduler","task":"00000000000000aa.0.0.1","decision":"start","age":1500000,"event":7010}
not json
{"@timestamp":"2026-01-01T00:00:03Z","@message":"task-decided","task":"00000000000000ab.0.0.1","reason":"00000000000000aa"}
`)
	b := write("entry.log", ` 12.5 edge-1 {"@timestamp":"2026-01-01T00:00:01Z","@message":"submission-accepted","@module":"scheduler","job":"00000000000000aa","event":7001}`+"\n")
	var out, stderr bytes.Buffer
	is.Equal(Run([]string{"story", "00000000000000aa", a, b}, &out, &stderr), process.ExitOK)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(lines, []string{
		"2026-01-01T00:00:01Z edge-1 scheduler submission-accepted event=7001 job=00000000000000aa",
		"2026-01-01T00:00:02Z owner scheduler task-decided age=1.5ms decision=start event=7010 task=00000000000000aa.0.0.1",
	})
	is.True(Run([]string{"story", "00000000000000ff", a}, &out, &stderr) != process.ExitOK)
	is.Equal(Run([]string{"story", "00000000000000aa", dir + "/none"}, &out, &stderr), process.ExitUsage)
}
