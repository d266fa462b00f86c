package edge

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

const (
	// directoryTTL is how long callers keep an answer; short, so that they
	// leave a stopping node before its connections close.
	directoryTTL = 2 * time.Second
	// directoryMost bounds the addresses of one answer.
	directoryMost = 64
	// directoryLeast leaves a caller others to turn to where one fails it.
	directoryLeast = 4
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

// callerAddresses draws the nodes that a caller is told. Callers choose among
// them at random, so each node is told in proportion to what it can carry.
func (n *Node) callerAddresses() []string {
	var ready []nodeState
	for _, m := range n.members.alive() {
		if m.Ready && !m.Stopping {
			ready = append(ready, m)
		}
	}
	return drawAddresses(ready, rand.Float64)
}

// drawAddresses draws from nodes by their weights; at least directoryLeast are
// drawn where there are as many.
func drawAddresses(nodes []nodeState, draw func() float64) []string {
	heaviest := 0.0
	for _, s := range nodes {
		heaviest = max(heaviest, s.Weight)
	}
	slices.SortFunc(nodes, func(a, b nodeState) int { return cmp.Compare(b.Weight, a.Weight) })
	var drawn, rest []string
	for _, s := range nodes {
		if draw()*heaviest < s.Weight {
			drawn = append(drawn, s.Callers)
		} else {
			rest = append(rest, s.Callers)
		}
	}
	for len(drawn) < directoryLeast && len(rest) > 0 {
		i := int(draw() * float64(len(rest)))
		drawn = append(drawn, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	return drawn[:min(len(drawn), directoryMost)]
}

// readiness answers whether this node takes callers.
func (n *Node) readiness(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
