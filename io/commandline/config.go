package commandline

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"rosemarygap/core/entry"
	"rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// CheckCommand checks a document without an entry.
type CheckCommand struct {
	File string `arg:"positional,required" help:"path of the document"`
}

// Run prints the faults as JSON, one array.
func (c *CheckCommand) Run(w io.Writer) error {
	b, err := readFile(c.File)
	if err != nil {
		return err
	}
	_, faults := operator.Parse(b)
	if faults == nil {
		faults = []operator.Fault{}
	}
	if err := printJSON(w, faults); err != nil {
		return err
	}
	if len(faults) > 0 {
		return status.ErrConfigInvalid
	}
	return nil
}

// readFile reads a document; one above the limit is cut just beyond it, so
// that the check refuses it.
func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, status.At(status.ErrNotFound, "file", file)
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, wire.MaxControlBody+1))
	return b, errors.Wrap(err, "read file")
}

// SchemaCommand prints the schema.
type SchemaCommand struct{}

// Run prints the schema.
func (*SchemaCommand) Run(w io.Writer) error {
	_, err := w.Write(operator.Schema())
	return errors.Wrap(err, "write output")
}

// ApplyCommand makes a document take effect.
type ApplyCommand struct {
	Target
	WaitOptions
	File     string `arg:"positional,required" help:"path of the document"`
	Revision int64  `arg:"--revision,env:ROSEMARYGAP_REVISION" default:"-1" help:"revision that the document was edited from; -1 takes the one in force now"`
	ChangeID string `arg:"--change-id,env:ROSEMARYGAP_CHANGE_ID" help:"id of this change; the same document may be applied again with it and takes effect once"`
}

// editMessage is an edit whose document is sent as it was read.
type editMessage struct {
	Revision int64           `json:"revision"`
	ChangeID string          `json:"change-id"`
	Document json.RawMessage `json:"document"`
}

// Tries of a change whose outcome is open, all with one change id.
const (
	applyTries = 3
	applyDelay = 2 * time.Second
)

// Run prints the accepted configuration, or the whole refusal.
func (c *ApplyCommand) Run(w io.Writer) error {
	b, err := readFile(c.File)
	if err != nil {
		return err
	}
	if d, faults := operator.Parse(b); d == nil {
		return printFaults(w, faults)
	}
	if c.Revision == anyRevision {
		now, err := c.config()
		if err != nil && !errors.Is(err, status.ErrNoConfiguration) {
			return err
		}
		c.Revision = now.Revision
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	progress("change-id=%s revision=%d", c.ChangeID, c.Revision)
	done, err := c.send(editMessage{c.Revision, c.ChangeID, b})
	if err != nil {
		printRefusal(w, err)
		return err
	}
	if c.Wait {
		if err := c.await(c.inForce(done.Revision)); err != nil {
			return err
		}
	}
	return printJSON(w, done)
}

// printFaults prints the faults of a document that can't be sent at all.
func printFaults(w io.Writer, faults []operator.Fault) error {
	if err := printJSON(w, faults); err != nil {
		return err
	}
	return status.ErrConfigInvalid
}

// send sends an edit, and asks again with the same change id while its
// outcome is open.
func (c *ApplyCommand) send(m editMessage) (done operator.AcceptedConfig, err error) {
	for i := range applyTries {
		if i > 0 {
			progress("code=%s change-id=%s", status.CodeOf(err), m.ChangeID)
			time.Sleep(applyDelay)
		}
		err = c.call(http.MethodPut, "/api/config", m, &done)
		if !errors.Is(err, status.ErrUnreachable) && !errors.Is(err, status.ErrStoreUnavailable) {
			return done, err
		}
	}
	return done, err
}

func (t *Target) config() (operator.AcceptedConfig, error) {
	var a operator.AcceptedConfig
	err := t.get("/api/config", &a)
	return a, err
}

// inForce polls until a revision is in force at every entry that answers.
func (t *Target) inForce(revision int64) func() (bool, string, error) {
	return func() (bool, string, error) {
		var all []entry.Status
		if err := t.get("/api/status", &all); err != nil {
			return false, "", err
		}
		n := 0
		for _, e := range all {
			if e.Revision >= revision {
				n++
			}
		}
		return n == len(all), fmt.Sprintf("revision=%d in-force-at=%d entries=%d", revision, n, len(all)), nil
	}
}
