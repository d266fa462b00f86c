// Package outcome defines the result of a request: whether it ran, why it was
// refused, and when the caller may retry.
package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Ran states whether a request ran on a backend server.
type Ran string

// The possible values of Ran.
const (
	// RanNo means that no backend server received the request.
	RanNo Ran = "no"
	// RanMaybe means that a backend server may have received the request.
	RanMaybe Ran = "maybe"
	// RanYes means that a backend server ran the request.
	RanYes Ran = "yes"
)

// Worse returns the more severe of two values: yes over maybe over no.
func Worse(a, b Ran) Ran {
	if a == RanYes || b == RanYes {
		return RanYes
	}
	if a == RanMaybe || b == RanMaybe {
		return RanMaybe
	}
	return RanNo
}

// Code names the reason of a refusal. Codes are part of the callers' interface
// and must not change.
type Code string

// The refusal codes of the callers' interface.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthorised     Code = "unauthorised"
	CodeNotAllowed       Code = "not_allowed"
	CodeNotFound         Code = "not_found"
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeTooLarge         Code = "too_large"
	CodeOverloaded       Code = "overloaded"
	CodeDeadline         Code = "deadline"
	CodeNoBackend        Code = "no_backend"
	CodeQuietHours       Code = "quiet_hours"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeConflict         Code = "conflict"
	CodeInProgress       Code = "in_progress"
	CodeMayHaveRun       Code = "may_have_run"
	CodeBackendFailed    Code = "backend_failed"
	CodeCrashSuspect     Code = "crash_suspect"
	CodeShuttingDown     Code = "leaving"
	CodeCancelled        Code = "cancelled"
	CodeInternal         Code = "internal"
)

// Refusal is the final answer to a request that was not served.
type Refusal struct {
	// Code names the reason.
	Code Code
	// Ran states whether a backend server may have run the request.
	Ran Ran
	// RetryAfter is how long the caller should wait before a retry. Zero means
	// that a retry cannot help.
	RetryAfter time.Duration
	// Message says what happened and what to do, in plain words.
	Message string
	// StatusPath is the path where the caller can query the outcome. It is
	// empty if there is none.
	StatusPath string
	// Earlier is RanMaybe if an earlier request with the same idempotency key
	// may have run. Ran applies to this request only.
	Earlier Ran
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Code, r.Ran, r.Message)
}

// Refuse returns a refusal of a request that did not run.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// AsRefusal returns the refusal within err. Any other error becomes an internal
// refusal with RanMaybe, because it does not state whether the request ran.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Code: CodeInternal, Ran: RanMaybe, RetryAfter: time.Second, Message: err.Error()}
}
