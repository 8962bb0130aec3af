package caller

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/operator"
	"rosemarygap/core/status"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// maxRequestID is the longest accepted request id, and the longest part of a
// wrong value that is told back, in bytes.
const maxRequestID = 128

// newID returns an id for a request whose caller gave none.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

// parseIdentity reads the headers that identify a request into q.
func parseIdentity(r *http.Request, q *caller.Request) error {
	id, err := single(r, HeaderRequestID)
	if err != nil {
		return err
	}
	if len(id) > maxRequestID {
		return status.At(status.ErrOutOfRange, HeaderRequestID, clip(id))
	}
	if !visible(id) {
		return status.At(status.ErrBadName, HeaderRequestID, "")
	}
	if id != "" {
		q.ID, q.IDFromCaller = id, true
	}
	q.Idempotent, err = parseIdempotent(r)
	return err
}

// parseLimits reads the headers that limit a request into q.
func parseLimits(r *http.Request, svc *operator.Service, now time.Time, q *caller.Request) error {
	if r.Method == http.MethodConnect {
		return status.ErrMethodNotServed
	}
	d, err := parseDeadline(r, svc)
	if err != nil {
		return err
	}
	q.Deadline = now.Add(d)
	return nil
}

// single returns the value of a header that may be given once.
func single(r *http.Request, name string) (string, error) {
	vs := r.Header.Values(name)
	if len(vs) > 1 {
		return "", status.At(status.ErrDuplicateHeader, name, clip(vs[1]))
	}
	return r.Header.Get(name), nil
}

// clip bounds a value that is told back.
func clip(s string) string { return s[:min(len(s), maxRequestID)] }

// visible reports whether s has printable ASCII characters only.
func visible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func parseIdempotent(r *http.Request) (bool, error) {
	v, err := single(r, HeaderIdempotent)
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
	return false, status.At(status.ErrOutOfRange, HeaderIdempotent, clip(v))
}

func parseDeadline(r *http.Request, svc *operator.Service) (time.Duration, error) {
	v, err := single(r, HeaderDeadline)
	if err != nil {
		return 0, err
	}
	if v == "" {
		return svc.Deadline.Std(), nil
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		return 0, status.At(status.ErrWrongUnit, HeaderDeadline, clip(v))
	}
	if d <= 0 || d > operator.MaxDeadline {
		return 0, status.At(status.ErrOutOfRange, HeaderDeadline, clip(v))
	}
	return d, nil
}

// readBody reads a body of at most limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	var late interface{ Timeout() bool }
	if errors.As(err, &late) && late.Timeout() {
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
