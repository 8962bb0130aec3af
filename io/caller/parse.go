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
)

// maxRequestID is the longest accepted request id, in bytes.
const maxRequestID = 128

// parse reads the headers of a request that are meant for rosemarygap.
func parse(r *http.Request, svc *operator.Service, now time.Time) (caller.Request, error) {
	q := caller.Request{ID: r.Header.Get(HeaderRequestID), Service: svc.Name}
	if len(q.ID) > maxRequestID {
		return q, status.At(status.ErrOutOfRange, HeaderRequestID, q.ID[:maxRequestID])
	}
	idempotent, err := parseIdempotent(r)
	if err != nil {
		return q, err
	}
	q.Idempotent = idempotent
	d, err := parseDeadline(r, svc)
	if err != nil {
		return q, err
	}
	q.Deadline = now.Add(d)
	return q, nil
}

// requestID returns the caller's id for the request, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); id != "" {
		return id
	}
	return uuid.Must(uuid.NewV7()).String()
}

func parseIdempotent(r *http.Request) (bool, error) {
	v := r.Header.Get(HeaderIdempotent)
	if v == "" {
		return r.Method == http.MethodGet || r.Method == http.MethodHead, nil
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		return false, status.At(status.ErrOutOfRange, HeaderIdempotent, v)
	}
	return b, nil
}

func parseDeadline(r *http.Request, svc *operator.Service) (time.Duration, error) {
	v := r.Header.Get(HeaderDeadline)
	if v == "" {
		return svc.Deadline.Std(), nil
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		return 0, status.At(status.ErrWrongUnit, HeaderDeadline, v)
	}
	if d <= 0 || d > operator.MaxDeadline {
		return 0, status.At(status.ErrOutOfRange, HeaderDeadline, v)
	}
	return d, nil
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, status.ErrCallerCancelled
	}
	if int64(len(b)) > limit {
		return nil, status.ErrBodyTooLarge
	}
	return b, nil
}
