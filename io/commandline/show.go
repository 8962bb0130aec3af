package commandline

import (
	"fmt"
	"io"
	"text/tabwriter"

	"rosemarygap/core/entry"
	"rosemarygap/core/operator"
	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// ShowCommand shows the configuration and the status of the entries.
type ShowCommand struct {
	Target
	JSON     bool `arg:"--json,env:ROSEMARYGAP_JSON" help:"print JSON instead of a table"`
	Document bool `arg:"--document" help:"print only the configuration document, for editing"`
}

// ShowOutput is the JSON output of ShowCommand.
type ShowOutput struct {
	Config  *operator.AcceptedConfig `json:"config"`
	Entries []entry.Status           `json:"entries"`
}

// Run prints the configuration and the status of the entries.
func (c *ShowCommand) Run(w io.Writer) error {
	var out ShowOutput
	a, err := c.currentConfig()
	if err == nil {
		out.Config = &a
	} else if !errors.Is(err, status.ErrNoConfiguration) {
		return err
	}
	if c.Document {
		if err != nil {
			return err
		}
		return printJSON(w, a.Document)
	}
	if err := c.get("/api/status", &out.Entries); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(w, out)
	}
	return out.writeTable(w)
}

// writeTable writes the entries and, below them, the configuration in force at
// the entry that was queried, as tables.
func (s *ShowOutput) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ENTRY\tZONE\tREVISION\tREADY\tCELLS\tCODE")
	for _, e := range s.Entries {
		fmt.Fprintf(t, "%s\t%s\t%d\t%t\t%v\t%s\n", e.ID, e.Zone, e.Revision, e.Ready, e.Cells, e.Code)
	}
	if s.Config != nil {
		writeDocument(t, &s.Config.Document)
	}
	return errors.Wrap(t.Flush(), "write output")
}

func writeDocument(t io.Writer, d *operator.Document) {
	fmt.Fprintln(t, "\nSERVICE\tLATENCY-TARGET\tDEADLINE\tQUEUE-LIMIT\tMAX-BODY-BYTES")
	for _, s := range d.Services {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\n", s.Name, s.LatencyTarget.Std(), s.Deadline.Std(), s.QueueLimit, s.MaxBodyBytes)
	}
	fmt.Fprintln(t, "\nTEAM\tPROCESSORS-MILLI\tMEMORY-MIB\tACCELERATORS")
	for _, m := range d.Teams {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", m.Name, m.Quota.Processors, m.Quota.Memory, m.Quota.Accelerators)
	}
	fmt.Fprintln(t, "\nBATCH-CLASS\tURGENT")
	for _, b := range d.Classes {
		fmt.Fprintf(t, "%s\t%t\n", b.Name, b.Urgent)
	}
	fmt.Fprintln(t, "\nPLACEMENT-RULE\tBATCH-CLASS\tAVOID-SERVICE\tZONES")
	for _, r := range d.Rules {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\n", r.Name, r.Class, r.AvoidService, r.Zones)
	}
	fmt.Fprintln(t, "\nDRAINING-WORKER")
	for _, w := range d.Draining {
		fmt.Fprintln(t, w)
	}
}
