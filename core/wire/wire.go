// Package wire implements the JSON conventions that rosemarygap's own interfaces
// share: kebab-case fields, durations as strings with a unit, strict decoding with a
// size limit, and one error body. It holds no state.
package wire

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// MaxControlBody is the largest accepted control message, in bytes.
const MaxControlBody = 1 << 20

// Duration is a time.Duration that is encoded in JSON as a string with a unit,
// such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON encodes d as a string with a unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string with a unit. It returns status.ErrWrongUnit for
// any other value, including a bare number, whose unit would be ambiguous.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return status.At(status.ErrWrongUnit, "duration", string(b))
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return status.At(status.ErrWrongUnit, "duration", s)
	}
	*d = Duration(v)
	return nil
}

// ReadBody reads a body of at most limit bytes. It returns
// status.ErrBodyTooLarge for a larger body, and status.ErrMalformedJSON if
// reading fails.
func ReadBody(r io.Reader, limit int64) ([]byte, error) {
	b, err := ReadAll(io.LimitReader(r, limit+1))
	var coded *status.Error
	switch {
	case errors.As(err, &coded):
		return nil, err
	case err != nil:
		return nil, errors.WithMessage(status.ErrMalformedJSON, err.Error())
	}
	if int64(len(b)) > limit {
		return nil, status.ErrBodyTooLarge
	}
	return b, nil
}

// Decode reads exactly one JSON value of at most limit bytes into v. It returns
// an error of package status for unknown fields, trailing data and oversized bodies.
func Decode(r io.Reader, limit int64, v any) error {
	b, err := ReadBody(r, limit)
	if err != nil {
		return err
	}
	return Unmarshal(b, v)
}

// Unmarshal is like Decode for bytes that are already in memory.
func Unmarshal(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return withFieldPath(decodeError(err), b, v)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return status.At(status.ErrMalformedJSON, "body", "trailing-data")
	}
	return nil
}

func decodeError(err error) error {
	var coded *status.Error
	if errors.As(err, &coded) {
		return err
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return status.At(status.ErrUnknownField, strings.Trim(field, `"`), "")
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return status.At(status.ErrMalformedJSON, typeErr.Field, typeErr.Value)
	}
	return errors.WithMessage(status.ErrMalformedJSON, err.Error())
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Code       status.Code `json:"code"`
	Path       string      `json:"path,omitempty"`
	Value      string      `json:"value,omitempty"`
	RetryAfter Duration    `json:"retry-after,omitempty"`
}

// ErrorBodyOf returns the ErrorBody that describes err.
func ErrorBodyOf(err error) ErrorBody {
	path, value := status.DetailOf(err)
	return ErrorBody{
		Code:       status.CodeOf(err),
		Path:       path,
		Value:      value,
		RetryAfter: Duration(status.RetryAfterOf(err)),
	}
}

// Err returns the error that b describes, which errors.Is matches with the
// status error of its code. An unknown code gives status.ErrInternal.
func (b ErrorBody) Err() error {
	err := status.FromCode(b.Code)
	if err == nil {
		err = status.ErrInternal
	}
	if b.Path != "" {
		err = status.At(err, b.Path, b.Value)
	}
	if b.RetryAfter > 0 {
		err = status.RetryIn(err, b.RetryAfter.Std())
	}
	return err
}
