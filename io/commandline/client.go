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

// Time limits and periods of calls to an entry.
const (
	callTimeout = 15 * time.Second
	pollEvery   = 500 * time.Millisecond
)

// call sends one message to the entry.
func (t *Target) call(method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c := httpjson.NewClient(callTimeout, httpjson.WithToken(t.Token))
	defer c.Close()
	return c.Call(ctx, method, t.Entry, path, in, out)
}

func (t *Target) get(path string, out any) error {
	return t.call(http.MethodGet, path, nil, out)
}

// printRefusal writes the whole body of a refusal, such as the faults of a
// document or the differences of a conflict.
func printRefusal(w io.Writer, err error) {
	var r *httpjson.ResponseError
	if errors.As(err, &r) {
		_ = printJSON(w, json.RawMessage(r.Body))
	}
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write output")
}

// progress writes one line on the standard error.
func progress(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "progress "+format+"\n", args...)
}

// await polls until done says so, and writes a line whenever the progress
// changes. Errors that pass with time are progress as well.
func (w *WaitOptions) await(poll func() (done bool, text string, err error)) error {
	end := time.Now().Add(w.Limit)
	for last := ""; ; time.Sleep(pollEvery) {
		done, text, err := poll()
		if err != nil && exitCode(err) != exitCode(status.ErrUnreachable) {
			return err
		}
		if err != nil {
			done, text = false, "code="+string(status.CodeOf(err))
		}
		if text != last {
			progress("%s", text)
			last = text
		}
		if done {
			return nil
		}
		if time.Now().After(end) {
			return status.RetryIn(status.At(status.ErrDeadlineExceeded, "--wait-limit", w.Limit.String()), pollEvery)
		}
	}
}
