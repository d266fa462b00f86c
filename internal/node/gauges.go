package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// gaugeCollector computes metrics from the node's view when they are collected.
type gaugeCollector struct{ n *Node }

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("cowslipfall_"+name, help, labels, nil)
}

// Descriptions of the gauges.
var (
	descState       = newDesc("state", "1 for the state that this node is in.", "state")
	descNodes       = newDesc("nodes", "Nodes that this node knows of, by state.", "state")
	descReplicas    = newDesc("replicas", "Replicas by pool and state.", "pool", "state")
	descRunning     = newDesc("replica_running", "Streams and calls that run, by pool.", "pool")
	descLimit       = newDesc("replica_limit", "Streams and calls that may run, by pool.", "pool")
	descQuiet       = newDesc("quiet_hours_active", "1 while the quiet hours hold.", "quiet_hours")
	descStage       = newDesc("rollout_stage", "Stage of a roll-out: 0 before the start, the number of stages + 1 after the last.", "rollout")
	descWithdrawn   = newDesc("withdrawn", "1 for a version that takes no new work.", "version")
	descSuspects    = newDesc("crash_suspects", "Requests seen at crashes of backend servers, by state.", "state")
	descBehind      = newDesc("nodes_behind", "Live nodes whose configuration revision is older than this node's.")
	descStoreAge    = newDesc("store_answer_age_seconds", "Time since the platform last answered.")
	descStoreFailed = newDesc("store_failures_in_row", "Calls of the platform that failed since the last answer.")
)

// Describe implements prometheus.Collector.
func (g gaugeCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		descState, descNodes, descReplicas, descRunning, descLimit, descQuiet, descStage, descWithdrawn, descSuspects, descBehind, descStoreAge, descStoreFailed,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (g gaugeCollector) Collect(out chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	r := g.n.Report()
	for _, state := range processStates {
		send(descState, boolGauge(g.n.processState() == state), state)
	}
	g.collectNodes(r, send)
	g.collectReplicas(r, send)
	for _, q := range r.QuietHours {
		send(descQuiet, boolGauge(q.Active), q.Name)
	}
	for _, v := range r.Versions {
		send(descWithdrawn, boolGauge(v.Withdrawn != ""), v.Version)
		if v.Rollout != "" {
			send(descStage, float64(v.Stage), v.Rollout)
		}
	}
	send(descStoreAge, r.Store.AnswerAge(time.Now()).Seconds())
	send(descStoreFailed, float64(r.Store.FailuresInRow))
}

type sendFunc func(d *prometheus.Desc, v float64, labels ...string)

func (g gaugeCollector) collectNodes(r Report, send sendFunc) {
	counts := map[string]float64{StateLive: 0, StateShuttingDown: 0, StateUnreachable: 0}
	behind := 0.0
	for _, n := range r.Nodes {
		counts[n.State]++
		if n.State == StateLive && n.Revision < r.Revision.Number {
			behind++
		}
	}
	for state, v := range counts {
		send(descNodes, v, state)
	}
	send(descBehind, behind)
	refused := 0.0
	for _, s := range r.Suspects {
		refused += boolGauge(s.Refused)
	}
	send(descSuspects, refused, "refused")
	send(descSuspects, float64(len(r.Suspects))-refused, "suspected")
}

func (g gaugeCollector) collectReplicas(r Report, send sendFunc) {
	type sums struct{ usable, unusable, running, limit float64 }
	pools := map[string]*sums{}
	for _, v := range r.Replicas {
		p := pools[v.Pool]
		if p == nil {
			p = &sums{}
			pools[v.Pool] = p
		}
		p.usable += boolGauge(v.Usable)
		p.unusable += boolGauge(!v.Usable)
		p.running += float64(v.Running)
		p.limit += float64(v.Limit)
	}
	for pool, p := range pools {
		send(descReplicas, p.usable, pool, "usable")
		send(descReplicas, p.unusable, pool, "unusable")
		send(descRunning, p.running, pool)
		send(descLimit, p.limit, pool)
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// States of the process as reported in metrics.
const (
	processStateStarting = "starting"
	processStateReady    = "ready"
	processStateDraining = "draining"
	processStateLeaving  = "leaving"
)

var processStates = []string{processStateStarting, processStateReady, processStateDraining, processStateLeaving}

// processState returns the state of the process as reported in metrics.
func (n *Node) processState() string {
	switch {
	case n.isRefusing.Load():
		return processStateLeaving
	case n.isShuttingDown.Load():
		return processStateDraining
	case n.config.Current().Number == 0:
		return processStateStarting
	default:
		return processStateReady
	}
}
