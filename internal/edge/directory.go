package edge

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// directoryTTL is how long callers keep an answer; short, so that they
	// leave a stopping node before its connections close.
	directoryTTL = 2 * time.Second
	// directoryMost bounds the addresses of one answer.
	directoryMost = 64
)

// directoryAnswer tells a caller where to connect.
type directoryAnswer struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttlS"`
}

// directory answers which addresses callers may use.
func (n *Node) directory(w http.ResponseWriter, _ *http.Request) {
	addresses := n.callerAddresses()
	if len(addresses) == 0 {
		http.Error(w, "no node is ready", http.StatusServiceUnavailable)
		return
	}
	ttl := min(directoryTTL, max(n.settings.Load().DirectoryTTL, time.Second))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(directoryAnswer{Addresses: addresses, TTL: ttl.Seconds()})
}

// callerAddresses lists the nodes that are ready, in random order.
func (n *Node) callerAddresses() []string {
	var out []string
	seen := map[string]bool{}
	for _, m := range n.members.alive() {
		if m.Ready && !m.Stopping && !seen[m.Callers] {
			seen[m.Callers] = true
			out = append(out, m.Callers)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), directoryMost)]
}

// readiness answers whether this node takes callers.
func (n *Node) readiness(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
