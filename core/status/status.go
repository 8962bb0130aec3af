// Package status defines the stable error codes of rosemarygap.
//
// Every error that leaves a process carries exactly one code. The text beside
// a code is for logs only: programs compare codes or sentinels, never text.
// The package owns no state.
package status

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Code is a stable, kebab-case error identifier.
type Code string

// Error is a sentinel with a stable code and the HTTP status that carries it.
type Error struct {
	code Code
	http int
}

// Error returns the code, so that a bare sentinel is readable in a log.
func (e *Error) Error() string { return string(e.code) }

// Code returns the stable code.
func (e *Error) Code() Code { return e.code }

// HTTPStatus returns the HTTP status code that carries the error.
func (e *Error) HTTPStatus() int { return e.http }

// Detail adds the place and value of a fault, and when to try again.
type Detail struct {
	cause error

	// Path names the field, flag or header at fault; empty if none.
	Path string
	// Value is the offending value as it was received.
	Value string
	// RetryAfter is the delay before another try makes sense; zero if none.
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

// RetryIn wraps err with the delay before another try makes sense.
func RetryIn(err error, after time.Duration) error {
	return &Detail{cause: err, RetryAfter: after}
}

// CodeOf returns the code of err, or CodeInternal if it carries none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.code
	}
	return ErrInternal.code
}

// HTTPStatusOf returns the HTTP status for err; 500 if it carries no code.
func HTTPStatusOf(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.http
	}
	return http.StatusInternalServerError
}

// RetryAfterOf returns the delay before another try makes sense; zero if none.
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

// FromCode returns the sentinel with code c, or nil if there is none.
func FromCode(c Code) error {
	for _, e := range All() {
		if e.code == c {
			return e
		}
	}
	return nil
}
