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

// ShowCommand shows the state of the system.
type ShowCommand struct {
	Target
	JSON bool `arg:"--json,env:ROSEMARYGAP_JSON" help:"print JSON instead of a table"`
}

// Shown is the JSON output of show.
type Shown struct {
	Config  *operator.Accepted `json:"config"`
	Entries []entry.Status     `json:"entries"`
}

// Run prints the state.
func (c *ShowCommand) Run(w io.Writer) error {
	var out Shown
	a, err := c.config()
	if err == nil {
		out.Config = &a
	} else if !errors.Is(err, status.ErrNoConfiguration) {
		return err
	}
	if err := c.get("/api/status", &out.Entries); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(w, out)
	}
	return out.table(w)
}

func (s *Shown) table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ENTRY\tZONE\tREVISION\tREADY\tCELLS\tCODE")
	for _, e := range s.Entries {
		fmt.Fprintf(t, "%s\t%s\t%d\t%t\t%v\t%s\n", e.ID, e.Zone, e.Revision, e.Ready, e.Cells, e.Code)
	}
	return errors.Wrap(t.Flush(), "write output")
}
