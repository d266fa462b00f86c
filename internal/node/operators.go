package node

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Status is a node's current view, for use within the process.
type Status struct {
	// Node is the name of the node.
	Node string
	// Revision is the configuration in force at the node.
	Revision *config.Revision
	// Nodes and Replicas are those in the node's membership view.
	Nodes    []membership.Node
	Replicas []routing.Replica
	// PendingBills is the number of bills that are not yet stored.
	PendingBills int
}

// Explanation holds the recorded steps of one request, collected from all live
// nodes.
type Explanation struct {
	Request string      `json:"request"`
	Steps   []wire.Step `json:"steps"`
	// Silent lists the live nodes that did not answer in time.
	Silent []string `json:"silent,omitempty"`
}

// explainTimeout bounds the wait for the answers of other nodes.
const explainTimeout = 2 * time.Second

// operatorHandler returns the HTTP handler for operators.
func (n *Node) operatorHandler() http.Handler {
	r := chi.NewRouter()
	r.Use(n.requireOperatorKey)
	r.Handle("/metrics", promhttp.HandlerFor(n.metrics.Registry, promhttp.HandlerOpts{}))
	r.Get("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Report()) })
	r.Get("/explain/{request}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, n.explain(r, chi.URLParam(r, "request")))
	})
	r.Delete("/quarantines/{key}", n.liftQuarantine)
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return r
}

// requireOperatorKey rejects requests without the operators' key.
func (n *Node) requireOperatorKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), []byte(n.options.Settings.OperatorKey)) != 1 {
			http.Error(w, "send Authorization: Bearer with the operator_key of the settings", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Status returns the node's current view.
func (n *Node) Status() Status {
	view := n.members.Snapshot()
	return Status{Node: n.options.Settings.ID, Revision: n.config.Current(), Nodes: view.Nodes, Replicas: view.Replicas, PendingBills: n.bills.Pending()}
}

// liftQuarantine ends the quarantine of a request or prompt part on all nodes. The key is
// the fingerprint that the status reports.
func (n *Node) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	key, err := strconv.ParseUint(chi.URLParam(r, "key"), 10, 64)
	if err != nil {
		http.Error(w, "the key is not a fingerprint as the status reports it", http.StatusBadRequest)
		return
	}
	record, ok := n.suspects.Lift(key, time.Now())
	if !ok {
		http.Error(w, "nothing with this fingerprint is quarantined", http.StatusNotFound)
		return
	}
	n.options.Log.Warn("quarantine lifted by an operator", zap.Uint64("fingerprint", key), zap.String("part", record.Part))
	crashReporter{n}.Publish(r.Context(), []wire.Suspect{record})
	w.WriteHeader(http.StatusNoContent)
}

// explain collects a request's steps from all live nodes.
func (n *Node) explain(r *http.Request, request string) Explanation {
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	e := Explanation{Request: request, Steps: n.record.Steps(request)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range n.members.Snapshot().Nodes {
		if !m.IsLive || m.State.ID == n.options.Settings.ID {
			continue
		}
		wg.Go(func() {
			reply := &wire.ExplainReply{}
			err := n.call(ctx, m.State.ID, "Explain", wire.ExplainArgs{Request: request}, reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				e.Silent = append(e.Silent, m.State.ID)
				return
			}
			e.Steps = append(e.Steps, reply.Steps...)
		})
	}
	wg.Wait()
	slices.Sort(e.Silent)
	slices.SortStableFunc(e.Steps, func(a, b wire.Step) int { return a.At.Compare(b.At) })
	return e
}
