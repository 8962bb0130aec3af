package caller

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// maxRequestIDBytes is the maximum length of a request id, and of the part of an
// invalid value that an error response repeats.
const maxRequestIDBytes = 128

// newRequestID returns an id for a request whose caller chose none.
func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }

// parseIdentity reads the request id and the idempotent header into req.
func parseIdentity(r *http.Request, req *caller.Request) error {
	id, err := singleValue(r, HeaderRequestID)
	if err != nil {
		return err
	}
	if len(id) > maxRequestIDBytes {
		return status.At(status.ErrOutOfRange, HeaderRequestID, truncate(id))
	}
	if !isPrintable(id) {
		return status.At(status.ErrBadName, HeaderRequestID, "")
	}
	if id != "" {
		req.ID, req.IDFromCaller = id, true
	}
	req.Idempotent, err = parseIdempotent(r)
	return err
}

// parseMethodAndDeadline rejects the CONNECT method and reads the deadline header
// of a request into req.
func parseMethodAndDeadline(r *http.Request, svc *operator.Service, now time.Time, req *caller.Request) error {
	if r.Method == http.MethodConnect {
		return status.ErrMethodNotServed
	}
	deadline, err := parseDeadline(r, svc)
	if err != nil {
		return err
	}
	req.Deadline = now.Add(deadline)
	return nil
}

// singleValue returns the value of a header, or an error if the request has more
// than one.
func singleValue(r *http.Request, name string) (string, error) {
	vs := r.Header.Values(name)
	if len(vs) > 1 {
		return "", status.At(status.ErrDuplicateHeader, name, truncate(vs[1]))
	}
	return r.Header.Get(name), nil
}

// truncate shortens an invalid value for an error response.
func truncate(s string) string { return s[:min(len(s), maxRequestIDBytes)] }

// isPrintable reports whether s consists of printable ASCII characters without
// spaces.
func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func parseIdempotent(r *http.Request) (bool, error) {
	v, err := singleValue(r, HeaderIdempotent)
	if err != nil {
		return false, err
	}
	switch v {
	case "":
		return r.Method == http.MethodGet || r.Method == http.MethodHead, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, status.At(status.ErrOutOfRange, HeaderIdempotent, truncate(v))
}

func parseDeadline(r *http.Request, svc *operator.Service) (time.Duration, error) {
	v, err := singleValue(r, HeaderDeadline)
	if err != nil {
		return 0, err
	}
	if v == "" {
		return svc.Deadline.Std(), nil
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		return 0, status.At(status.ErrWrongUnit, HeaderDeadline, truncate(v))
	}
	if d <= 0 || d > operator.MaxDeadline {
		return 0, status.At(status.ErrOutOfRange, HeaderDeadline, truncate(v))
	}
	return d, nil
}

// readBody reads a body of at most limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	b, err := wire.ReadAll(io.LimitReader(r.Body, limit+1))
	if errors.Is(err, status.ErrOverloaded) || errors.Is(err, status.ErrBodyTooLarge) {
		return nil, err
	}
	var timeoutErr interface{ Timeout() bool }
	if errors.As(err, &timeoutErr) && timeoutErr.Timeout() {
		return nil, status.ErrDeadlineExceeded
	}
	if err != nil {
		return nil, status.ErrCallerCancelled
	}
	if int64(len(b)) > limit {
		return nil, status.At(status.ErrBodyTooLarge, "max-body-bytes", strconv.FormatInt(limit, 10))
	}
	return b, nil
}
