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

// CheckCommand validates a configuration document offline.
type CheckCommand struct {
	File string `arg:"positional,required" help:"path of the configuration document"`
}

// Run prints the faults of the document as a JSON array.
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

// readFile reads a document. It truncates a document above
// wire.MaxControlBody to one byte more than that, so that validation rejects it.
func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, status.At(status.ErrNotFound, "file", file)
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, wire.MaxControlBody+1))
	return b, errors.Wrap(err, "read file")
}

// SchemaCommand prints the JSON Schema of configuration documents.
type SchemaCommand struct{}

// Run prints the schema.
func (*SchemaCommand) Run(w io.Writer) error {
	_, err := w.Write(operator.Schema())
	return errors.Wrap(err, "write output")
}

// ApplyCommand applies a configuration document.
type ApplyCommand struct {
	Target
	WaitOptions
	File     string `arg:"positional,required" help:"path of the configuration document"`
	Revision int64  `arg:"--revision,env:ROSEMARYGAP_REVISION" default:"-1" help:"revision that the document is based on; -1 means the revision in force now"`
	ChangeID string `arg:"--change-id,env:ROSEMARYGAP_CHANGE_ID" help:"idempotency key of this change; applying the same document again with the same id has no further effect"`
}

// editRequest is the request body of a configuration change. It contains the
// document exactly as it was read from the file.
type editRequest struct {
	Revision int64           `json:"revision"`
	ChangeID string          `json:"change-id"`
	Document json.RawMessage `json:"document"`
}

// applyAttempts is the number of times that a change is sent while its outcome is
// unknown, always with the same change id. applyRetryDelay is the time between
// these attempts.
const (
	applyAttempts   = 3
	applyRetryDelay = 2 * time.Second
)

// Run prints the accepted configuration, or the whole body of the error response.
func (c *ApplyCommand) Run(w io.Writer) error {
	b, err := readFile(c.File)
	if err != nil {
		return err
	}
	if d, faults := operator.Parse(b); d == nil {
		return printFaults(w, faults)
	}
	if c.Revision == currentRevision {
		current, err := c.currentConfig()
		if err != nil && !errors.Is(err, status.ErrNoConfiguration) {
			return err
		}
		c.Revision = current.Revision
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	printProgress("change-id=%s revision=%d", c.ChangeID, c.Revision)
	accepted, err := c.sendEdit(editRequest{c.Revision, c.ChangeID, b})
	if err != nil {
		printErrorBody(w, err)
		return err
	}
	if c.Wait {
		if err := c.waitUntil(c.pollInForce(accepted.Revision)); err != nil {
			return err
		}
	}
	return printJSON(w, accepted)
}

// printFaults prints the faults of a document that can't be parsed, and returns
// status.ErrConfigInvalid.
func printFaults(w io.Writer, faults []operator.Fault) error {
	if err := printJSON(w, faults); err != nil {
		return err
	}
	return status.ErrConfigInvalid
}

// sendEdit sends a configuration change, and retries it with the same change id
// while its outcome is unknown.
func (c *ApplyCommand) sendEdit(edit editRequest) (accepted operator.AcceptedConfig, err error) {
	for i := range applyAttempts {
		if i > 0 {
			printProgress("code=%s change-id=%s", status.CodeOf(err), edit.ChangeID)
			time.Sleep(applyRetryDelay)
		}
		err = c.callEntry(http.MethodPut, "/api/config", edit, &accepted)
		if !errors.Is(err, status.ErrUnreachable) && !errors.Is(err, status.ErrStoreUnavailable) {
			return accepted, err
		}
	}
	return accepted, err
}

func (t *Target) currentConfig() (operator.AcceptedConfig, error) {
	var a operator.AcceptedConfig
	err := t.get("/api/config", &a)
	return a, err
}

// pollInForce returns a poll function that reports whether a revision is in force
// at every entry. An entry that doesn't respond counts as not having it in force.
func (t *Target) pollInForce(revision int64) func() (bool, string, error) {
	return func() (bool, string, error) {
		var all []entry.Status
		if err := t.get("/api/status", &all); err != nil {
			return false, "", err
		}
		inForce := 0
		for _, e := range all {
			if e.Revision >= revision {
				inForce++
			}
		}
		return inForce == len(all), fmt.Sprintf("revision=%d in-force-at=%d entries=%d", revision, inForce, len(all)), nil
	}
}
