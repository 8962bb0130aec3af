package commandline

import (
	"encoding/json"
	"io"
	"net/http"
	"os"

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
	_, err := readDocument(w, c.File)
	return err
}

// readDocument reads and checks a document and prints its faults.
func readDocument(w io.Writer, file string) (*operator.Document, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, status.At(status.ErrNotFound, "file", file)
	}
	defer f.Close()
	var d operator.Document
	if err := wire.Decode(f, wire.MaxControlBody, &d); err != nil {
		return nil, err
	}
	faults := operator.Check(&d)
	if err := printJSON(w, faults); err != nil {
		return nil, err
	}
	if len(faults) > 0 {
		return nil, status.ErrConfigInvalid
	}
	return &d, nil
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write output")
}

// ApplyCommand makes a document take effect.
type ApplyCommand struct {
	Target
	File     string `arg:"positional,required" help:"path of the document"`
	Revision int64  `arg:"--revision" default:"-1" help:"revision that the document was edited from; -1 takes the one in force now"`
	ChangeID string `arg:"--change-id" help:"id of this change; the same id may be applied again"`
}

// Run prints the accepted configuration.
func (c *ApplyCommand) Run(w io.Writer) error {
	d, err := readDocument(io.Discard, c.File)
	if err != nil {
		return err
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	edit := operator.Accepted{Revision: c.Revision, ChangeID: c.ChangeID, Document: *d}
	return c.apply(w, edit)
}

func (t *Target) apply(w io.Writer, edit operator.Accepted) error {
	if edit.Revision < 0 {
		now, err := t.config()
		if err != nil && !errors.Is(err, status.ErrNoConfiguration) {
			return err
		}
		edit.Revision = now.Revision
	}
	var done operator.Accepted
	if err := t.call(http.MethodPut, "/api/config", edit, &done); err != nil {
		return err
	}
	return printJSON(w, done)
}

func (t *Target) config() (operator.Accepted, error) {
	var a operator.Accepted
	err := t.get("/api/config", &a)
	return a, err
}

// DrainCommand keeps further batch work off a worker.
type DrainCommand struct {
	Target
	Worker string `arg:"positional,required" help:"id of the worker"`
	Undo   bool   `arg:"--undo" help:"admit batch work again"`
}

// Run changes the configuration and prints it.
func (c *DrainCommand) Run(w io.Writer) error {
	a, err := c.config()
	if err != nil {
		return err
	}
	a.Document.SetDraining(c.Worker, !c.Undo)
	a.ChangeID = uuid.NewString()
	return c.apply(w, a)
}
