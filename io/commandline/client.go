package commandline

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"

	"github.com/pkg/errors"
)

// callTimeout limits each call to an entry, and pollInterval is the time between
// two polls.
const (
	callTimeout  = 15 * time.Second
	pollInterval = 500 * time.Millisecond
)

// callEntry sends one request to the entry.
func (t *Target) callEntry(method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c := httpjson.NewClient(callTimeout, httpjson.WithToken(t.Token))
	defer c.Close()
	return c.Call(ctx, method, t.Entry, path, in, out)
}

func (t *Target) get(path string, out any) error {
	return t.callEntry(http.MethodGet, path, nil, out)
}

// printErrorBody prints the whole body of an error response, for example with
// the faults of a document or the differences of a conflict.
func printErrorBody(w io.Writer, err error) {
	var respErr *httpjson.ResponseError
	if errors.As(err, &respErr) {
		_ = printJSON(w, json.RawMessage(respErr.Body))
	}
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write output")
}

// printProgress prints one progress line to the standard error.
func printProgress(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "progress "+format+"\n", args...)
}

// waitUntil calls poll until it reports done or the wait limit is reached, and
// prints a line whenever the progress text changes. Transient errors don't end
// the wait; their codes are printed as progress.
func (w *WaitOptions) waitUntil(poll func() (done bool, text string, err error)) error {
	deadline := time.Now().Add(w.Limit)
	for last := ""; ; time.Sleep(pollInterval) {
		done, text, err := poll()
		if err != nil && exitCode(err) != exitCode(status.ErrUnreachable) {
			return err
		}
		if err != nil {
			done, text = false, "code="+string(status.CodeOf(err))
		}
		if text != last {
			printProgress("%s", text)
			last = text
		}
		if done {
			return nil
		}
		if time.Now().After(deadline) {
			return status.RetryIn(status.At(status.ErrDeadlineExceeded, "--wait-limit", w.Limit.String()), pollInterval)
		}
	}
}
