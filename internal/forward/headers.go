// Package forward carries a caller's request to backend servers and their
// answer back: it chooses servers and models, repeats what may be repeated
// within the budget, and resumes streams that break off.
package forward

import (
	"net/http"
	"strings"
)

// Headers are the names under which callers, this system and backend servers
// tell each other what is not in the body.
type Headers struct {
	// RequestID identifies one attempt of a caller; servers echo it.
	RequestID string
	// TimeLeft is how many milliseconds the caller waits from now on.
	TimeLeft string
	// Key opens the route, Organisation names its holder to the server.
	Key          string
	Organisation string
	// Instance names the server that is meant; another one refuses.
	Instance string
	// Version names the version of the weights that is meant.
	Version string
	// NotRun marks a server's answer that promises that nothing ran.
	NotRun string
	// Leaving marks the answers of a server that is about to stop.
	Leaving string
	// Load is "running,waiting,slots" of a server.
	Load string
	// Model is the model asked for; AnyModel leaves it to the system.
	Model string
	// Tokens is "prompt tokens,most output tokens".
	Tokens string
	// Prompt lists the parts of the prompt as "id:tokens", comma-separated.
	Prompt string
	// Session is alike for requests that belong together.
	Session string
	// LengthHint is the caller's estimate of the number of output tokens.
	LengthHint string
	// Confidence is the model's opinion of its answer, 0 to 100.
	Confidence string
	// Priority is the engine's priority, 0 (first) to 9.
	Priority string
	// LastEventID is the last event of a stream that the receiver has.
	LastEventID string
	// Internal are the system's to set; a caller's are dropped.
	Internal []string
}

// AnyModel is the model name by which a caller leaves the choice to the system.
const AnyModel = "*"

// hopByHop concern one connection only.
var hopByHop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization"}

// dropHopByHop removes the headers of one connection.
func dropHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// headerBytes returns the size of a request's line and header in bytes.
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

// outgoing returns the headers for a server: the caller's, without those of
// the connection, the key, and what only the system may set.
func (n *Headers) outgoing(in http.Header) http.Header {
	h := in.Clone()
	dropHopByHop(h)
	for _, name := range []string{n.Key, n.Organisation, n.Instance, n.Version, n.Priority, n.TimeLeft, "Content-Length", "Expect"} {
		h.Del(name)
	}
	for _, name := range n.Internal {
		h.Del(name)
	}
	return h
}
