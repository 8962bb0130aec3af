package commandline

import (
	"encoding/json"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"rosemarygap/core/delay"
	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// maxSlowestJobs is the highest number of slow jobs that are listed for each queue.
const maxSlowestJobs = 1000

// DelaysCommand prints where the time of the jobs of a scheduler went, and why they waited.
type DelaysCommand struct {
	Files   []string `arg:"positional,required" help:"log files of all processes"`
	JSON    bool     `arg:"--json" help:"print the report as JSON"`
	SVG     string   `arg:"--svg" help:"write a picture of the report to this file"`
	Slowest int      `arg:"--slowest" default:"5" help:"number of late jobs to list for each queue"`
}

// Check implements Command.
func (c *DelaysCommand) Check() error {
	if c.Slowest < 0 || c.Slowest > maxSlowestJobs {
		return badSetting("--slowest", strconv.Itoa(c.Slowest))
	}
	return nil
}

// Run prints the report.
func (c *DelaysCommand) Run(w io.Writer) error {
	var records []delay.Record
	for _, name := range c.Files {
		if err := readLogLines(name, func(_, object string) { records = appendRecord(records, object) }); err != nil {
			return status.At(status.ErrBadSetting, "FILES", err.Error())
		}
	}
	slices.SortStableFunc(records, func(a, b delay.Record) int { return a.At.Compare(b.At) })
	l := delay.NewLog()
	for _, r := range records {
		l.Add(r)
	}
	report := l.Report(c.Slowest)
	if c.SVG != "" {
		if err := writeFile(c.SVG, report.WriteSVG); err != nil {
			return status.At(status.ErrBadSetting, "--svg", err.Error())
		}
	}
	if c.JSON {
		return errors.Wrap(json.NewEncoder(w).Encode(report), "write output")
	}
	return errors.Wrap(report.WriteText(w), "write output")
}

// appendRecord appends the record of a log line, which begins with a JSON object. It leaves out
// lines that cannot be decoded, like StoryCommand.
func appendRecord(records []delay.Record, line string) []delay.Record {
	var l struct {
		At        time.Time     `json:"@timestamp"`
		Event     int           `json:"event"`
		Job       string        `json:"job"`
		Task      string        `json:"task"`
		Step      string        `json:"step"`
		Queue     string        `json:"queue"`
		Decision  string        `json:"decision"`
		Reason    string        `json:"reason"`
		Elapsed   time.Duration `json:"elapsed"`
		Objective time.Duration `json:"objective"`
		Count     int           `json:"count"`
		Capacity  int           `json:"capacity"`
		Free      int           `json:"free"`
	}
	if json.Unmarshal([]byte(line), &l) != nil {
		return records
	}
	return append(records, delay.Record(l))
}

// writeFile writes a new file by write.
func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
