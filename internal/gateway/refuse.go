package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         outcome.Code `json:"code"`
	Message      string       `json:"message"`
	Ran          outcome.Ran  `json:"ran"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
	StatusPath   string       `json:"status_path,omitempty"`
	Earlier      outcome.Ran  `json:"earlier,omitempty"`
}

func newErrorBody(r *outcome.Refusal) errorBody {
	return errorBody{errorDetail{Code: r.Code, Message: r.Message, Ran: r.Ran, RetryAfterMS: r.RetryAfter.Milliseconds(), StatusPath: r.StatusPath, Earlier: r.Earlier}}
}

// httpStatuses maps refusal codes to HTTP statuses.
var httpStatuses = map[outcome.Code]int{
	outcome.CodeBadRequest:       http.StatusBadRequest,
	outcome.CodeUnauthorised:     http.StatusUnauthorized,
	outcome.CodeNotAllowed:       http.StatusForbidden,
	outcome.CodeNotFound:         http.StatusNotFound,
	outcome.CodeMethodNotAllowed: http.StatusMethodNotAllowed,
	outcome.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	outcome.CodeOverloaded:       http.StatusTooManyRequests,
	outcome.CodeDeadline:         http.StatusGatewayTimeout,
	outcome.CodeNoBackend:        http.StatusServiceUnavailable,
	outcome.CodeQuietHours:       http.StatusServiceUnavailable,
	outcome.CodeStoreUnavailable: http.StatusServiceUnavailable,
	outcome.CodeConflict:         http.StatusUnprocessableEntity,
	outcome.CodeInProgress:       http.StatusConflict,
	outcome.CodeMayHaveRun:       http.StatusBadGateway,
	outcome.CodeBackendFailed:    http.StatusBadGateway,
	outcome.CodeCrashSuspect:     http.StatusUnprocessableEntity,
	outcome.CodeShuttingDown:     http.StatusServiceUnavailable,
	outcome.CodeCancelled:        499,
	outcome.CodeInternal:         http.StatusInternalServerError,
}

// httpStatus returns the HTTP status of a refusal code.
func httpStatus(code outcome.Code) int {
	if s, ok := httpStatuses[code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// refuse sends the final response to a request that was not served.
func (g *Gateway) refuse(w http.ResponseWriter, kind, rank string, err error) {
	r := outcome.AsRefusal(err)
	g.Metrics.Requests.WithLabelValues(kind, rank, string(r.Code)).Inc()
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	if id := w.Header().Get(HeaderRequestID); r.Code != outcome.CodeUnauthorised && id != "" {
		g.Dispatcher.Record.Add(id, "refused: %s", r)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus(r.Code))
	_ = json.NewEncoder(w).Encode(newErrorBody(r))
}
