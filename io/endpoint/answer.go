package endpoint

import (
	"context"
	"io"
	"net/http"

	"rosemarygap/core/caller"
	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// checkAnswer refuses an answer that is not m's, says that m was not run, or
// could not be told from one that was cut off.
func checkAnswer(x *exchange, w *http.Response, m *Request) (caller.Result, error) {
	if err := x.checkID(w.Header.Get(HeaderRequestID), m.ID); err != nil {
		return caller.Indeterminate, err
	}
	if w.Header.Get(HeaderNotRun) != "" {
		return caller.Refused, status.ErrEndpointRefused
	}
	if w.Header.Get(HeaderRepeated) != "" {
		return caller.Indeterminate, status.ErrRepeatedRequest
	}
	if w.StatusCode == http.StatusSwitchingProtocols {
		return caller.Indeterminate, errors.WithMessage(status.ErrEndpointFailed, "unasked change of protocol")
	}
	if !delimited(w, m.Method) {
		return caller.Indeterminate, errors.WithMessage(status.ErrEndpointFailed, "answer without a length")
	}
	return caller.Complete, nil
}

// delimited reports whether the end of the answer can be told from a
// connection that breaks off.
func delimited(w *http.Response, method string) bool {
	return method == http.MethodHead || w.ContentLength >= 0 || len(w.TransferEncoding) > 0 ||
		w.StatusCode == http.StatusNoContent || w.StatusCode == http.StatusNotModified
}

// readAnswer reads the whole answer, or as much as is buffered.
func (c *Client) readAnswer(ctx context.Context, w *http.Response) (*Response, caller.Result, error) {
	a := &Response{Status: w.StatusCode, Header: w.Header}
	b, err := io.ReadAll(io.LimitReader(w.Body, c.buffer))
	if err != nil {
		w.Body.Close()
		return nil, caller.Indeterminate, failure(ctx, err)
	}
	a.Body = b
	if int64(len(b)) == c.buffer {
		a.Rest = w.Body
		return a, caller.Indeterminate, nil
	}
	w.Body.Close()
	return a, caller.Complete, nil
}
