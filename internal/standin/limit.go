package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
)

// Limit is the limit that a backend server names, with a record of the requests that
// reached the server. The zero value names none. It is safe for concurrent use.
type Limit struct {
	mu       sync.Mutex
	rate     *float64    // guarded by mu; requests per second, or nil
	arrivals []time.Time // guarded by mu
}

// Set makes the server name a limit in requests per second.
func (l *Limit) Set(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = &rate
}

// Clear makes the server name no limit.
func (l *Limit) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = nil
}

// Arrivals returns the times of all requests to the server, probes included.
func (l *Limit) Arrivals() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.arrivals...)
}

// record records a request.
func (l *Limit) record() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, time.Now())
}

// apply sets the limit in a load report.
func (l *Limit) apply(r backend.LoadReport) backend.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Limit = l.rate
	return r
}

// handler names the limit in the answers of another handler.
func (l *Limit) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		if l.rate != nil {
			w.Header().Set(backend.HeaderLimit, strconv.FormatFloat(*l.rate, 'f', -1, 64))
		}
		l.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}
