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
	// directoryTTL is how long callers keep an answer. It is short, so that they leave a
	// stopping node before its connections close.
	directoryTTL = 2 * time.Second
	// maxDirectoryAddresses bounds the addresses of one answer.
	maxDirectoryAddresses = 64
	// minDirectoryAddresses leaves a caller other nodes to try when one fails.
	minDirectoryAddresses = 4
)

// directoryAnswer is the JSON answer that lists the addresses for callers.
type directoryAnswer struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttlS"`
}

// directory serves the addresses that callers may use.
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

// callerAddresses samples the nodes for one directory answer. Callers choose among
// them at random, so each node is listed in proportion to its weight.
func (n *Node) callerAddresses() []string {
	var ready []nodeState
	for _, m := range n.members.live() {
		if m.Ready && !m.Stopping {
			ready = append(ready, m)
		}
	}
	return sampleAddresses(ready, rand.Float64)
}

// sampleAddresses samples addresses of nodes by their weights. It returns at least
// minDirectoryAddresses where there are as many nodes. random returns numbers within 0
// to 1.
func sampleAddresses(nodes []nodeState, random func() float64) []string {
	maxWeight := 0.0
	for _, s := range nodes {
		maxWeight = max(maxWeight, s.Weight)
	}
	slices.SortFunc(nodes, func(a, b nodeState) int { return cmp.Compare(b.Weight, a.Weight) })
	var drawn, rest []string
	for _, s := range nodes {
		if random()*maxWeight < s.Weight {
			drawn = append(drawn, s.Callers)
		} else {
			rest = append(rest, s.Callers)
		}
	}
	for len(drawn) < minDirectoryAddresses && len(rest) > 0 {
		i := int(random() * float64(len(rest)))
		drawn = append(drawn, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	return drawn[:min(len(drawn), maxDirectoryAddresses)]
}

// readiness reports whether this node accepts callers.
func (n *Node) readiness(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
