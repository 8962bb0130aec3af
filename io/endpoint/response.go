package endpoint

import (
	"context"
	"io"
	"net/http"

	"rosemarygap/core/caller"
	"rosemarygap/core/status"

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

// readResponse reads the complete response, or as much of it as fits into the
// buffer.
func (c *Client) readResponse(ctx context.Context, httpResp *http.Response) (*Response, caller.Result, error) {
	resp := &Response{Status: httpResp.StatusCode, Header: httpResp.Header}
	b, err := io.ReadAll(io.LimitReader(httpResp.Body, c.bufferBytes))
	if err != nil {
		httpResp.Body.Close()
		return nil, caller.Indeterminate, dispatchError(ctx, err)
	}
	resp.Body = b
	if int64(len(b)) == c.bufferBytes {
		resp.Rest = httpResp.Body
		return resp, caller.Indeterminate, nil
	}
	httpResp.Body.Close()
	return resp, caller.Complete, nil
}
