// Package forward is a reverse proxy that forwards callers' requests to backend
// servers. It selects servers and models, retries requests within a retry
// budget, and resumes broken event streams at another server.
package forward

import (
	"net/http"
	"strings"
)

// Headers holds the names of the headers that callers, the router and backend
// servers exchange.
type Headers struct {
	// RequestID identifies one attempt of a caller. Servers echo it.
	RequestID string
	// TimeLeft is the number of milliseconds that the caller still waits.
	TimeLeft string
	// Key is the caller's key for the route. Organisation names the key's
	// holder to the server.
	Key          string
	Organisation string
	// Instance names the server that the request is for. Another server refuses
	// it.
	Instance string
	// Version names the version of the model weights that the request is for.
	Version string
	// NotRun marks an answer whose server promises that it did not run the
	// request.
	NotRun string
	// Draining marks the answers of a server that is draining.
	Draining string
	// Load is the load of a server as "running,waiting,slots".
	Load string
	// Limit is the number of requests per second that a server takes from all
	// nodes together, for as long as its answers name it.
	Limit string
	// Brittle is the number of requests that a server may refuse in a second before it falls
	// over, for as long as its answers name it.
	Brittle string
	// Warmup is how many milliseconds a server is still cold.
	Warmup string
	// Model is the requested model. AnyModel leaves the choice to the router.
	Model string
	// Tokens is "prompt tokens,maximum output tokens".
	Tokens string
	// Prompt lists the parts of the prompt as "id:tokens", separated by commas.
	Prompt string
	// Session is equal for requests that belong together.
	Session string
	// LengthHint is the caller's estimate of the number of output tokens.
	LengthHint string
	// Confidence is the model's confidence in its answer, 0 to 100.
	Confidence string
	// Priority is the priority at the engine, 0 (first) to 9.
	Priority string
	// LastEventID is the ID of the last event that the receiver of a stream
	// already has.
	LastEventID string
	// Internal lists headers that only the router may set. They are removed
	// from callers' requests.
	Internal []string
}

// AnyModel is the model name with which a caller leaves the choice to the
// router.
const AnyModel = "*"

// hopByHopHeaders apply to a single connection only.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization"}

// removeHopByHop removes the hop-by-hop headers, including those that the
// Connection header names.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// headerBytes returns the size of a request line and header in bytes.
func headerBytes(r *http.Request) int {
	const framing = len(": \r\n")
	total := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			total += len(name) + len(v) + framing
		}
	}
	return total
}

// serverHeaders returns the caller's headers for a server. It leaves out
// hop-by-hop headers, the key, and headers that only the router may set.
func (n *Headers) serverHeaders(in http.Header) http.Header {
	h := in.Clone()
	removeHopByHop(h)
	for _, name := range []string{n.Key, n.Organisation, n.Instance, n.Version, n.Priority, n.TimeLeft, "Content-Length", "Expect"} {
		h.Del(name)
	}
	for _, name := range n.Internal {
		h.Del(name)
	}
	return h
}
