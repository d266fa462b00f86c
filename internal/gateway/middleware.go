package gateway

import (
	"context"
	"net/http"
	"regexp"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

type requestIDKey struct{}

// clientIDPattern matches the request IDs that callers may send.
var clientIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// identify assigns each request an ID and returns the caller's own ID. Bills
// are stored under the router's ID, so that IDs chosen by two callers never
// collide.
func (g *Gateway) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := dispatch.NewID()
		w.Header().Set(HeaderRequestID, id)
		if clientID := r.Header.Get(HeaderRequestID); clientIDPattern.MatchString(clientID) {
			w.Header().Set(HeaderClientRequestID, clientID)
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

// requestID returns the ID that identify assigned.
func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// trackingWriter records whether a response has begun.
type trackingWriter struct {
	http.ResponseWriter
	hasBegun bool
}

// WriteHeader implements http.ResponseWriter.
func (t *trackingWriter) WriteHeader(status int) {
	t.hasBegun = true
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *trackingWriter) Write(p []byte) (int, error) {
	t.hasBegun = true
	return t.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (t *trackingWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// recoverPanics answers a request whose handler panicked. A response that has
// begun is aborted, so that the caller does not take it for complete.
func (g *Gateway) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracking := &trackingWriter{ResponseWriter: w}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(cause)
			}
			g.Metrics.Panics.Inc()
			g.Log.Error("a request's handler panicked", zap.Any("cause", cause), zap.String("request", requestID(r.Context())), zap.Stack("stack"))
			if tracking.hasBegun {
				panic(http.ErrAbortHandler)
			}
			g.refuse(tracking, "other", "", &outcome.Refusal{
				Code: outcome.CodeInternal, Ran: outcome.RanMaybe,
				Message: "the router failed on this request: send its identity to the operator",
			})
		}()
		next.ServeHTTP(tracking, r)
	})
}

// closeDuringShutdown closes keep-alive connections of a node that has left the
// directory, so that callers connect to another node.
func (g *Gateway) closeDuringShutdown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.IsShuttingDown() || g.IsRefusing() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
