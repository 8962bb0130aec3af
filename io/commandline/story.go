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

// maxLogLine is the longest line of a log that is read, in bytes.
const maxLogLine = 1 << 20

// StoryCommand prints what all processes logged of one job, in order.
type StoryCommand struct {
	ID    string   `arg:"positional,required" help:"id of a job, or the name of one of its tasks"`
	Files []string `arg:"positional,required" help:"log files of all processes"`
}

// Check implements Command.
func (c *StoryCommand) Check() error {
	if c.ID == "" || len(c.ID) > maxJobID {
		return badSetting("ID", c.ID)
	}
	return nil
}

// storyLine is one line of a log that concerns the job.
type storyLine struct {
	// process is what stands before the line's JSON object, which collectors
	// of logs put there, or the name of the file.
	at, process, module, message string
	fields                       map[string]any
}

// Run writes one line for each line of the logs that concerns the job.
func (c *StoryCommand) Run(w io.Writer) error {
	var story []storyLine
	for _, name := range c.Files {
		lines, err := c.read(name)
		if err != nil {
			return status.At(status.ErrBadSetting, "FILES", err.Error())
		}
		story = append(story, lines...)
	}
	slices.SortStableFunc(story, func(a, b storyLine) int { return cmp.Compare(a.at, b.at) })
	for _, l := range story {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return errors.Wrap(err, "write the story")
		}
	}
	if len(story) == 0 {
		return status.At(status.ErrUnknownJob, "ID", c.ID)
	}
	return nil
}

// read returns the lines of a file that concern the job. What stands before
// the JSON object of a line is skipped, as are lines without one.
func (c *StoryCommand) read(name string) ([]storyLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []storyLine
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		i := strings.IndexByte(s.Text(), '{')
		if i < 0 || !strings.Contains(s.Text(), c.ID) {
			continue
		}
		var fields map[string]any
		d := json.NewDecoder(strings.NewReader(s.Text()[i:]))
		d.UseNumber()
		if d.Decode(&fields) != nil || !c.concerns(fields) {
			continue
		}
		at, _ := fields["@timestamp"].(string)
		message, _ := fields["@message"].(string)
		module, _ := fields["@module"].(string)
		out = append(out, storyLine{at, processOf(s.Text()[:i], name), module, message, fields})
	}
	return out, s.Err()
}

// processOf returns the last word before a line's JSON object, or else the
// name of its file.
func processOf(before, file string) string {
	if words := strings.Fields(before); len(words) > 0 {
		return words[len(words)-1]
	}
	return strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
}

func (c *StoryCommand) concerns(fields map[string]any) bool {
	for _, key := range []string{"job", "task"} {
		if v, ok := fields[key].(string); ok && (v == c.ID || strings.HasPrefix(v, c.ID+".")) {
			return true
		}
	}
	return false
}

// String returns the time, the process, the event and its fields in order.
func (l storyLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s %s", l.at, l.process, l.module, l.message)
	for _, k := range slices.Sorted(maps.Keys(l.fields)) {
		if !strings.HasPrefix(k, "@") {
			fmt.Fprintf(&b, " %s=%v", k, readable(k, l.fields[k]))
		}
	}
	return b.String()
}

// readable returns a field as people read it; durations are logged in
// nanoseconds.
func readable(key string, v any) any {
	n, ok := v.(json.Number)
	if !ok || key != "age" && key != "elapsed" {
		return v
	}
	d, err := n.Int64()
	if err != nil {
		return v
	}
	return time.Duration(d).Round(10 * time.Microsecond)
}
