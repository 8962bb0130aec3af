package status

import "net/http"

// Errors that all interfaces use, most of them for malformed input.
var (
	ErrInternal        = &Error{"internal", http.StatusInternalServerError}
	ErrMalformedJSON   = &Error{"malformed-json", http.StatusBadRequest}
	ErrUnknownField    = &Error{"unknown-field", http.StatusBadRequest}
	ErrBodyTooLarge    = &Error{"body-too-large", http.StatusRequestEntityTooLarge}
	ErrHeaderTooLarge  = &Error{"header-too-large", http.StatusRequestHeaderFieldsTooLarge}
	ErrWrongUnit       = &Error{"wrong-unit", http.StatusBadRequest}
	ErrOutOfRange      = &Error{"out-of-range", http.StatusBadRequest}
	ErrMissingField    = &Error{"missing-field", http.StatusBadRequest}
	ErrBadName         = &Error{"bad-name", http.StatusBadRequest}
	ErrDuplicateID     = &Error{"duplicate-id", http.StatusConflict}
	ErrUnknownRef      = &Error{"unknown-reference", http.StatusBadRequest}
	ErrNotFound        = &Error{"not-found", http.StatusNotFound}
	ErrBadSetting      = &Error{"bad-setting", http.StatusBadRequest}
	ErrUnreachable     = &Error{"unreachable", http.StatusServiceUnavailable}
	ErrMethodNotServed = &Error{"method-not-allowed", http.StatusMethodNotAllowed}
	ErrWrongType       = &Error{"wrong-type", http.StatusBadRequest}
	ErrDuplicateKey    = &Error{"duplicate-key", http.StatusBadRequest}
	ErrOverloaded      = &Error{"overloaded", http.StatusServiceUnavailable}
)

// Errors of the request path. docs/INTERFACES.md lists their outcomes. 499 is the
// unregistered HTTP status code that nginx uses for a closed client connection.
var (
	ErrUnknownService   = &Error{"unknown-service", http.StatusNotFound}
	ErrNoEndpoint       = &Error{"no-endpoint", http.StatusServiceUnavailable}
	ErrQueueFull        = &Error{"queue-full", http.StatusServiceUnavailable}
	ErrDeadlineExceeded = &Error{"deadline-exceeded", http.StatusGatewayTimeout}
	ErrEndpointRefused  = &Error{"endpoint-refused", http.StatusServiceUnavailable}
	ErrEndpointFailed   = &Error{"endpoint-failed", http.StatusBadGateway}
	ErrForeignAnswer    = &Error{"foreign-answer", http.StatusBadGateway}
	ErrCallerCancelled  = &Error{"caller-cancelled", 499}
	ErrStopping         = &Error{"stopping", http.StatusServiceUnavailable}
	ErrRepeatedRequest  = &Error{"repeated-request", http.StatusConflict}
	ErrRepeatUnsure     = &Error{"repeat-unsure", http.StatusServiceUnavailable}
	ErrDuplicateHeader  = &Error{"duplicate-header", http.StatusBadRequest}
)

// Errors of the platform's key-value store.
var (
	ErrStoreUnavailable = &Error{"store-unavailable", http.StatusServiceUnavailable}
	ErrStoreConflict    = &Error{"store-conflict", http.StatusConflict}
	ErrLeaseExpired     = &Error{"lease-expired", http.StatusConflict}
)

// Errors of batch jobs and of the operators' interface. ErrContradiction means
// that two values of a configuration exclude each other, ErrAboveCapacity that a
// quota exceeds the capacity, and ErrCellsFixed that the number of cells cannot
// be changed.
var (
	ErrNoOwner         = &Error{"no-cell-owner", http.StatusServiceUnavailable}
	ErrNotOwner        = &Error{"not-cell-owner", http.StatusServiceUnavailable}
	ErrStaleEpoch      = &Error{"stale-epoch", http.StatusConflict}
	ErrJobConflict     = &Error{"job-conflict", http.StatusConflict}
	ErrUnknownJob      = &Error{"unknown-job", http.StatusNotFound}
	ErrConfigConflict  = &Error{"config-conflict", http.StatusConflict}
	ErrConfigInvalid   = &Error{"config-invalid", http.StatusUnprocessableEntity}
	ErrCellsFixed      = &Error{"cells-fixed", http.StatusConflict}
	ErrNoConfiguration = &Error{"no-configuration", http.StatusServiceUnavailable}
	ErrUnauthorized    = &Error{"unauthorized", http.StatusUnauthorized}
	ErrContradiction   = &Error{"contradiction", http.StatusUnprocessableEntity}
	ErrAboveCapacity   = &Error{"above-capacity", http.StatusUnprocessableEntity}
	ErrChangeIDReused  = &Error{"change-id-reused", http.StatusConflict}
	ErrConfigUnusable  = &Error{"config-unusable", http.StatusInternalServerError}
	ErrJobNotFinished  = &Error{"job-not-finished", http.StatusConflict}
	ErrCrossOrigin     = &Error{"cross-origin", http.StatusForbidden}
)

// Errors of admission: the job was not stored. ErrNoRoom means that the job would end
// too late to have a value, ErrCannotBePlaced that no worker can run it.
var (
	ErrNoRoom         = &Error{"no-room", http.StatusTooManyRequests}
	ErrCannotBePlaced = &Error{"cannot-be-placed", http.StatusTooManyRequests}
)

// All returns every sentinel error.
func All() []*Error {
	return []*Error{
		ErrInternal, ErrMalformedJSON, ErrUnknownField, ErrBodyTooLarge,
		ErrHeaderTooLarge, ErrWrongUnit, ErrOutOfRange, ErrMissingField,
		ErrBadName, ErrDuplicateID, ErrUnknownRef, ErrNotFound,
		ErrBadSetting, ErrUnreachable, ErrMethodNotServed, ErrUnknownService, ErrNoEndpoint,
		ErrQueueFull, ErrDeadlineExceeded, ErrEndpointRefused,
		ErrEndpointFailed, ErrForeignAnswer, ErrCallerCancelled, ErrStopping,
		ErrRepeatedRequest, ErrRepeatUnsure, ErrDuplicateHeader,
		ErrStoreUnavailable, ErrStoreConflict, ErrLeaseExpired, ErrNoOwner,
		ErrNotOwner, ErrStaleEpoch, ErrJobConflict,
		ErrUnknownJob, ErrConfigConflict,
		ErrConfigInvalid, ErrCellsFixed, ErrNoConfiguration, ErrUnauthorized,
		ErrWrongType, ErrDuplicateKey, ErrContradiction, ErrAboveCapacity,
		ErrChangeIDReused, ErrCrossOrigin, ErrJobNotFinished, ErrConfigUnusable,
		ErrNoRoom, ErrCannotBePlaced, ErrOverloaded,
	}
}
