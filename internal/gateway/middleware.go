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

// clientIDPattern is what a caller's own request identity may be.
var clientIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// identify gives each request an identity and returns the caller's own. Bills
// are stored under the router's, so that two callers' choices never meet.
func (g *Gateway) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := dispatch.NewID()
		w.Header().Set(HeaderRequestID, id)
		if own := r.Header.Get(HeaderRequestID); clientIDPattern.MatchString(own) {
			w.Header().Set(HeaderClientRequestID, own)
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

// requestID returns the identity that identify gave.
func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// beginning notes whether an answer has begun.
type beginning struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (b *beginning) WriteHeader(status int) {
	b.begun = true
	b.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (b *beginning) Write(p []byte) (int, error) {
	b.begun = true
	return b.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (b *beginning) Unwrap() http.ResponseWriter { return b.ResponseWriter }

// recoverPanics answers a request whose handler panicked. An answer that has begun
// is cut off, so that the caller does not take it for whole.
func (g *Gateway) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &beginning{ResponseWriter: w}
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
			if b.begun {
				panic(http.ErrAbortHandler)
			}
			g.refuse(b, "other", "", &outcome.Refusal{
				Code: outcome.CodeInternal, Ran: outcome.RanMaybe,
				Message: "the router failed on this request: send its identity to the operator",
			})
		}()
		next.ServeHTTP(b, r)
	})
}

// closeWhileDraining ends kept-open connections of a node that has left the
// directory, so that callers look for another.
func (g *Gateway) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.Draining() || g.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
