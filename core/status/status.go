// Package status defines the stable error codes of rosemarygap.
//
// Every error that leaves a process has exactly one code. The text of an error
// is only for logs: programs compare codes or sentinel errors, never text. The
// package holds no state.
package status

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Code is a stable, kebab-case error identifier.
type Code string

// Error is a sentinel error with a stable code and an HTTP status code.
type Error struct {
	code Code
	http int
}

// Error returns the code, so that a sentinel error without details is readable in
// a log.
func (e *Error) Error() string { return string(e.code) }

// Code returns the stable code.
func (e *Error) Code() Code { return e.code }

// HTTPStatus returns the HTTP status code of a response with this error.
func (e *Error) HTTPStatus() int { return e.http }

// Detail adds the path and value at fault, or the delay before a retry, to an
// error.
type Detail struct {
	cause error

	// Path names the field, flag or header at fault; empty if none.
	Path string
	// Value is the value at fault, possibly truncated, or a description of the
	// fault, such as the limit that the value exceeds.
	Value string
	// RetryAfter is the delay before a retry makes sense; zero if none is
	// known.
	RetryAfter time.Duration
}

// Error returns the code with the path and value at fault.
func (d *Detail) Error() string {
	if d.Path == "" {
		return d.cause.Error()
	}
	return d.cause.Error() + ": " + d.Path + "=" + d.Value
}

// Unwrap returns the cause, so that errors.Is finds the sentinel.
func (d *Detail) Unwrap() error { return d.cause }

// At wraps err with the path and value at fault.
func At(err error, path, value string) error {
	return &Detail{cause: err, Path: path, Value: value}
}

// RetryIn wraps err with the delay before a retry makes sense.
func RetryIn(err error, after time.Duration) error {
	return &Detail{cause: err, RetryAfter: after}
}

// CodeOf returns the code of err, or the code of ErrInternal if err has none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.code
	}
	return ErrInternal.code
}

// HTTPStatusOf returns the HTTP status code of err, or 500 if err has none.
func HTTPStatusOf(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.http
	}
	return http.StatusInternalServerError
}

// RetryAfterOf returns the outermost retry delay of err, or zero if it has none.
func RetryAfterOf(err error) time.Duration {
	for err != nil {
		var d *Detail
		if !errors.As(err, &d) {
			return 0
		}
		if d.RetryAfter > 0 {
			return d.RetryAfter
		}
		err = d.cause
	}
	return 0
}

// DetailOf returns the outermost path and value of err; empty if none.
func DetailOf(err error) (path, value string) {
	for err != nil {
		var d *Detail
		if !errors.As(err, &d) {
			return "", ""
		}
		if d.Path != "" {
			return d.Path, d.Value
		}
		err = d.cause
	}
	return "", ""
}

// FromCode returns the sentinel error with code c, or nil if there is none.
func FromCode(c Code) error {
	for _, e := range All() {
		if e.code == c {
			return e
		}
	}
	return nil
}
