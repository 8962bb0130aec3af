package endpoint

import (
	"context"
	"io"
	"net/http"

	"rosemarygap/core/caller"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"

	"github.com/pkg/errors"
)

// checkResponse returns an error for a response that may belong to another
// request, that reports that the endpoint did not run req or that req was a
// repeat, that switches protocols, or whose end cannot be detected.
func checkResponse(conns *connTracker, httpResp *http.Response, req *Request) (caller.Result, error) {
	if err := conns.checkResponseID(httpResp.Header.Get(HeaderRequestID), req.ID); err != nil {
		return caller.Indeterminate, err
	}
	if httpResp.Header.Get(HeaderNotRun) != "" {
		return caller.Refused, status.ErrEndpointRefused
	}
	if httpResp.Header.Get(HeaderRepeated) != "" {
		return caller.Indeterminate, status.ErrRepeatedRequest
	}
	if httpResp.StatusCode == http.StatusSwitchingProtocols {
		return caller.Indeterminate, errors.WithMessage(status.ErrEndpointFailed, "endpoint switched protocols without a request to do so")
	}
	if !isDelimited(httpResp, req.Method) {
		return caller.Indeterminate, errors.WithMessage(status.ErrEndpointFailed, "response has neither a length nor chunked encoding")
	}
	return caller.Complete, nil
}

// isDelimited reports whether the end of the response can be distinguished from
// a broken connection.
func isDelimited(httpResp *http.Response, method string) bool {
	return method == http.MethodHead || httpResp.ContentLength >= 0 || len(httpResp.TransferEncoding) > 0 ||
		httpResp.StatusCode == http.StatusNoContent || httpResp.StatusCode == http.StatusNotModified
}

// responseCopies is the number of copies of a response, as wire.ReadAll reads it: in pieces
// and whole.
const responseCopies = 2

// reservingReader reserves room for what its reader keeps of a response. It ends where there
// is no room.
type reservingReader struct {
	io.Reader
	ctx context.Context
	// left is the number of bytes of the room that is reserved.
	left int
	full bool
}

// Read implements io.Reader.
func (r *reservingReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		if httpjson.Reserve(r.ctx, int64(len(b))*responseCopies) != nil {
			r.full = true
			return 0, io.EOF
		}
		r.left = len(b)
	}
	n, err := r.Reader.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}

// readResponse reads the complete response, or as much of it as fits into the
// buffer and the room for the caller's connection.
func (c *Client) readResponse(ctx context.Context, httpResp *http.Response) (*Response, caller.Result, error) {
	resp := &Response{Status: httpResp.StatusCode, Header: httpResp.Header}
	limited := &reservingReader{Reader: httpResp.Body, ctx: ctx}
	b, err := wire.ReadAll(io.LimitReader(limited, c.bufferBytes))
	if err != nil {
		httpResp.Body.Close()
		return nil, caller.Indeterminate, dispatchError(ctx, err)
	}
	resp.Body = b
	if limited.full || int64(len(b)) == c.bufferBytes {
		resp.Rest = httpResp.Body
		return resp, caller.Indeterminate, nil
	}
	httpResp.Body.Close()
	return resp, caller.Complete, nil
}
