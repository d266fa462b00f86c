package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// gauges are the metrics worked out from the node's view when they are asked
// for.
type gauges struct{ n *Node }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("cowslipfall_"+name, help, labels, nil)
}

// Descriptions of the gauges.
var (
	descState       = desc("state", "1 for the state that this node is in.", "state")
	descNodes       = desc("nodes", "Nodes that this node knows of, by state.", "state")
	descReplicas    = desc("replicas", "Replicas by pool and state.", "pool", "state")
	descRunning     = desc("replica_running", "Streams and calls that run, by pool.", "pool")
	descLimit       = desc("replica_limit", "Streams and calls that may run, by pool.", "pool")
	descQuiet       = desc("quiet_hours_active", "1 while the quiet hours hold.", "quiet_hours")
	descStage       = desc("rollout_stage", "Stage of a roll-out: 0 before the start, the number of stages + 1 after the last.", "rollout")
	descWithdrawn   = desc("withdrawn", "1 for a version that takes no new work.", "version")
	descSuspects    = desc("crash_suspects", "Requests seen at crashes of backend servers, by state.", "state")
	descBehind      = desc("nodes_behind", "Live nodes whose configuration revision is older than this node's.")
	descStoreAge    = desc("store_answer_age_seconds", "Time since the platform last answered.")
	descStoreFailed = desc("store_failures_in_row", "Calls of the platform that failed since the last answer.")
)

// Describe implements prometheus.Collector.
func (g gauges) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		descState, descNodes, descReplicas, descRunning, descLimit, descQuiet, descStage, descWithdrawn, descSuspects, descBehind, descStoreAge, descStoreFailed,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (g gauges) Collect(out chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	r := g.n.Report()
	for _, state := range processStates {
		send(descState, flag(g.n.state() == state), state)
	}
	g.nodes(r, send)
	g.replicas(r, send)
	for _, q := range r.QuietHours {
		send(descQuiet, flag(q.Active), q.Name)
	}
	for _, v := range r.Versions {
		send(descWithdrawn, flag(v.Withdrawn != ""), v.Version)
		if v.Rollout != "" {
			send(descStage, float64(v.Stage), v.Rollout)
		}
	}
	send(descStoreAge, r.Store.AnswerAge(time.Now()).Seconds())
	send(descStoreFailed, float64(r.Store.FailuresInRow))
}

type sender func(d *prometheus.Desc, v float64, labels ...string)

func (g gauges) nodes(r Report, send sender) {
	counts := map[string]float64{StateLive: 0, StateLeaving: 0, StateDead: 0}
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
		refused += flag(s.Refused)
	}
	send(descSuspects, refused, "refused")
	send(descSuspects, float64(len(r.Suspects))-refused, "suspected")
}

func (g gauges) replicas(r Report, send sender) {
	type sums struct{ usable, unusable, running, limit float64 }
	pools := map[string]*sums{}
	for _, v := range r.Replicas {
		p := pools[v.Pool]
		if p == nil {
			p = &sums{}
			pools[v.Pool] = p
		}
		p.usable += flag(v.Usable)
		p.unusable += flag(!v.Usable)
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

func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// States of a process.
const (
	processStarting = "starting"
	processReady    = "ready"
	processDraining = "draining"
	processLeaving  = "leaving"
)

var processStates = []string{processStarting, processReady, processDraining, processLeaving}

// state returns the state of the process.
func (n *Node) state() string {
	switch {
	case n.refusing.Load():
		return processLeaving
	case n.leaving.Load():
		return processDraining
	case n.config.Current().Number == 0:
		return processStarting
	default:
		return processReady
	}
}
