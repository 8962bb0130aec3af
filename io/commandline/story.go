package commandline

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// maxLogLineBytes is the length of the longest accepted log line.
const maxLogLineBytes = 1 << 20

// StoryCommand prints the log lines of one job from all processes, in the order
// of their timestamps.
type StoryCommand struct {
	ID    string   `arg:"positional,required" help:"id of a job, or name of one of its tasks"`
	Files []string `arg:"positional,required" help:"log files of all processes"`
}

// Check implements Command.
func (c *StoryCommand) Check() error {
	if c.ID == "" || len(c.ID) > maxJobIDLen {
		return badSetting("ID", c.ID)
	}
	return nil
}

// logLine is a log line about the job.
type logLine struct {
	// process is the name of the process that logged the line: the last word
	// before the JSON object, which log collectors insert, or else the file name.
	timestamp, process, module, message string
	fields                              map[string]any
}

// Run prints one line for each log line about the job.
func (c *StoryCommand) Run(w io.Writer) error {
	var jobLines []logLine
	for _, name := range c.Files {
		lines, err := c.readLog(name)
		if err != nil {
			return status.At(status.ErrBadSetting, "FILES", err.Error())
		}
		jobLines = append(jobLines, lines...)
	}
	slices.SortStableFunc(jobLines, func(a, b logLine) int { return cmp.Compare(a.timestamp, b.timestamp) })
	for _, l := range jobLines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return errors.Wrap(err, "write output")
		}
	}
	if len(jobLines) == 0 {
		return status.At(status.ErrUnknownJob, "ID", c.ID)
	}
	return nil
}

// readLogLines calls add for each line of a log file with a JSON object, with the text
// before the object and the rest of the line.
func readLogLines(name string, add func(prefix, object string)) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if start := strings.IndexByte(scanner.Text(), '{'); start >= 0 {
			add(scanner.Text()[:start], scanner.Text()[start:])
		}
	}
	return scanner.Err()
}

// readLog returns the lines of a log file that are about the job.
func (c *StoryCommand) readLog(name string) ([]logLine, error) {
	var out []logLine
	err := readLogLines(name, func(prefix, object string) {
		if !strings.Contains(object, c.ID) {
			return
		}
		var fields map[string]any
		d := json.NewDecoder(strings.NewReader(object))
		d.UseNumber()
		if d.Decode(&fields) != nil || !c.isAboutJob(fields) {
			return
		}
		timestamp, _ := fields["@timestamp"].(string)
		message, _ := fields["@message"].(string)
		module, _ := fields["@module"].(string)
		out = append(out, logLine{timestamp, processName(prefix, name), module, message, fields})
	})
	return out, err
}

// processName returns the last word of prefix, the text before the JSON object of
// a line. If there is none, it returns the file name without its extension.
func processName(prefix, file string) string {
	if words := strings.Fields(prefix); len(words) > 0 {
		return words[len(words)-1]
	}
	return strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
}

// isAboutJob reports whether the job or task of a log line is the given one or
// belongs to it.
func (c *StoryCommand) isAboutJob(fields map[string]any) bool {
	for _, key := range []string{"job", "task"} {
		if v, ok := fields[key].(string); ok && (v == c.ID || strings.HasPrefix(v, c.ID+".")) {
			return true
		}
	}
	return false
}

// String returns the timestamp, the process, the module, the message and the
// fields in alphabetical order.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s %s", l.timestamp, l.process, l.module, l.message)
	for _, k := range slices.Sorted(maps.Keys(l.fields)) {
		if !strings.HasPrefix(k, "@") {
			fmt.Fprintf(&b, " %s=%v", k, formatField(k, l.fields[k]))
		}
	}
	return b.String()
}

// formatField returns the value of a field for the output. It converts durations
// from nanoseconds, in which they are logged, to a time.Duration.
func formatField(key string, v any) any {
	n, ok := v.(json.Number)
	if !ok || key != "age" && key != "elapsed" && key != "waited" {
		return v
	}
	d, err := n.Int64()
	if err != nil {
		return v
	}
	return time.Duration(d).Round(10 * time.Microsecond)
}
