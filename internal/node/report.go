package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/meter"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Report describes the fleet to operators, as seen by one node.
type Report struct {
	// Node is the name of the reporting node, At the time of the report.
	Node string    `json:"node"`
	At   time.Time `json:"at"`
	// Revision is the configuration in force at the node, without its content.
	Revision     *config.Revision   `json:"revision"`
	Nodes        []NodeReport       `json:"nodes"`
	DataCentres  []DataCentreReport `json:"data_centres"`
	Replicas     []ReplicaReport    `json:"replicas"`
	Versions     []VersionReport    `json:"versions"`
	QuietHours   []QuietReport      `json:"quiet_hours"`
	Suspects     []SuspectReport    `json:"suspects"`
	Store        meter.Health       `json:"store"`
	PendingBills int                `json:"pending_bills"`
	// RatingsTrusted is false while this node does not trust the rating
	// service.
	RatingsTrusted bool `json:"ratings_trusted"`
	// RatingsDropped counts answers that were not sent to be rated because the
	// queue was full.
	RatingsDropped int `json:"ratings_dropped"`
}

// States of a node in a report.
const (
	StateLive         = "live"
	StateShuttingDown = "leaving"
	StateUnreachable  = "dead"
)

// NodeReport describes one node.
type NodeReport struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Address    string `json:"address"`
	// State is one of the State constants.
	State string `json:"state"`
	// Revision is the configuration revision in force at the node.
	Revision uint64 `json:"revision"`
	// Replicas is the number of replicas that the node owns.
	Replicas int `json:"replicas"`
}

// DataCentreReport holds the totals of one data centre.
type DataCentreReport struct {
	Name     string `json:"name"`
	Nodes    int    `json:"nodes"`
	Live     int    `json:"live"`
	Replicas int    `json:"replicas"`
	Usable   int    `json:"usable"`
	Running  int    `json:"running"`
	Limit    int    `json:"limit"`
}

// ReplicaReport describes one backend server.
type ReplicaReport struct {
	ID         string   `json:"id"`
	Pool       string   `json:"pool"`
	DataCentre string   `json:"data_centre"`
	Owner      string   `json:"owner"`
	Usable     bool     `json:"usable"`
	Running    int      `json:"running"`
	Limit      int      `json:"limit"`
	Versions   []string `json:"versions"`
	// WaitsMS are the predicted queue waits by rank order, in milliseconds.
	WaitsMS []int64 `json:"waits_ms"`
}

// VersionReport describes one version of a model.
type VersionReport struct {
	Version string `json:"version"`
	// Default is true for the version that is in place for its model.
	Default bool `json:"default"`
	// Withdrawn is the reason why the version gets no new requests, or "".
	Withdrawn string `json:"withdrawn,omitempty"`
	// HeldUntil is the end of the time in which the version gets no new
	// sessions because it is suspect.
	HeldUntil time.Time `json:"held_until,omitzero"`
	// Replicas is the number of usable replicas that have the version loaded.
	Replicas int `json:"replicas"`
	// Rollout names the plan that introduces the version. Stage counts from 1;
	// 0 means not started, and a Stage above Stages means promoted.
	Rollout string    `json:"rollout,omitempty"`
	Stage   int       `json:"stage,omitempty"`
	Stages  int       `json:"stages,omitempty"`
	Percent float64   `json:"percent,omitempty"`
	Paused  bool      `json:"paused,omitempty"`
	Since   time.Time `json:"since,omitzero"`
	// Controller is the node that controls the roll-out.
	Controller string `json:"driver,omitempty"`
}

// QuietReport describes the current or next window of one quiet hours rule.
type QuietReport struct {
	Name   string    `json:"name"`
	Active bool      `json:"active"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
}

// SuspectReport describes the fingerprint of a request that was running when
// backend servers crashed.
type SuspectReport struct {
	Fingerprint uint64 `json:"fingerprint"`
	// Part is the ID of a prompt part; empty for a whole request.
	Part    string    `json:"part,omitempty"`
	Crashes int       `json:"crashes"`
	Refused bool      `json:"refused"`
	Until   time.Time `json:"until"`
}

// Report returns a description of the fleet as seen by this node.
func (n *Node) Report() Report {
	s := n.Status()
	now := time.Now()
	r := Report{Node: s.Node, At: now, Revision: s.Revision, Store: n.health.Current(), PendingBills: s.PendingBills, Suspects: suspectReports(s),
		RatingsTrusted: n.versions.cascade.ratingsTrusted(), RatingsDropped: n.versions.ratings.Dropped()}
	owned := map[string]int{}
	loaded := map[string]int{}
	for _, v := range s.Replicas {
		owned[v.Owner]++
		out := ReplicaReport{ID: v.ID, Pool: v.Pool, DataCentre: v.DataCentre, Owner: v.Owner, Usable: v.Usable, Running: v.Running, Limit: v.Limit}
		for _, t := range v.Targets {
			out.Versions = append(out.Versions, t.String())
			if v.Usable {
				loaded[t.String()]++
			}
		}
		for _, w := range v.Waits {
			out.WaitsMS = append(out.WaitsMS, w.Milliseconds())
		}
		r.Replicas = append(r.Replicas, out)
	}
	for _, v := range s.Nodes {
		r.Nodes = append(r.Nodes, NodeReport{
			ID: v.State.ID, DataCentre: v.State.DataCentre, Region: v.State.Region, Address: v.State.Address,
			State: nodeReportState(v.IsLive, v.State), Revision: v.State.Revision, Replicas: owned[v.State.ID],
		})
	}
	r.DataCentres = dataCentreReports(r.Nodes, r.Replicas)
	r.Versions = n.versionReports(s.Revision, loaded, now)
	r.QuietHours = quietReports(n.dispatcher.QuietWindows(), now)
	return r
}

func nodeReportState(live bool, s wire.NodeState) string {
	switch {
	case !live:
		return StateUnreachable
	case s.Leaving:
		return StateShuttingDown
	default:
		return StateLive
	}
}

func dataCentreReports(nodes []NodeReport, replicas []ReplicaReport) []DataCentreReport {
	byName := map[string]*DataCentreReport{}
	get := func(name string) *DataCentreReport {
		if byName[name] == nil {
			byName[name] = &DataCentreReport{Name: name}
		}
		return byName[name]
	}
	for _, n := range nodes {
		d := get(n.DataCentre)
		d.Nodes++
		if n.State == StateLive {
			d.Live++
		}
	}
	for _, r := range replicas {
		d := get(r.DataCentre)
		d.Replicas++
		if r.Usable {
			d.Usable++
			d.Running += r.Running
			d.Limit += r.Limit
		}
	}
	var out []DataCentreReport
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, *byName[name])
	}
	return out
}

// versionReports lists all versions, each with the plan that introduces it.
func (n *Node) versionReports(rev *config.Revision, loaded map[string]int, now time.Time) []VersionReport {
	roles := assignEvidenceRoles(n.members.Snapshot())
	holds := *n.versions.holds.Load()
	plans := map[config.Target]string{}
	for name, plan := range rev.Config.Rollouts {
		plans[rollout.Target(plan)] = name
	}
	var out []VersionReport
	for model, m := range rev.Config.Models {
		for version := range m.Versions {
			t := config.Target{Model: model, Version: version}
			v := VersionReport{Version: t.String(), Default: m.Default == version, Withdrawn: withdrawalReason(rev, t), Replicas: loaded[t.String()]}
			if until := holds[t]; now.Before(until) {
				v.HeldUntil = until
			}
			if name := plans[t]; name != "" {
				v.setRollout(rev, name)
				v.Controller = roles.controllerOf(name)
			}
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b VersionReport) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// setRollout fills in the progress of a roll-out.
func (v *VersionReport) setRollout(rev *config.Revision, name string) {
	plan := rev.Config.Rollouts[name]
	state := rollout.State(rev, name)
	v.Rollout, v.Stages, v.Paused, v.Since = name, len(plan.Stages), state.Paused || plan.Paused, state.Since
	v.Stage = state.Stage + 1
	switch {
	case state.Stage < 0:
		v.Stage = 0
	case state.Stage < len(plan.Stages):
		v.Percent = plan.Stages[state.Stage].Percent
	default:
		v.Percent = 100
	}
}

// withdrawalReason returns why a version gets no new requests, or "".
func withdrawalReason(rev *config.Revision, t config.Target) string {
	if w, ok := rev.Withdrawn[t]; ok {
		return cmp.Or(w.Reason, "by command")
	}
	if rev.IsWithdrawn(t) {
		return "by the folder"
	}
	return ""
}

func quietReports(windows []rollout.Window, now time.Time) []QuietReport {
	var out []QuietReport
	for _, w := range windows {
		out = append(out, QuietReport{Name: w.Name, Active: !now.Before(w.From), From: w.From, To: w.To})
	}
	return out
}

// suspectReports merges the suspects of all nodes, one report for each
// fingerprint.
func suspectReports(s Status) []SuspectReport {
	found := map[uint64]SuspectReport{}
	for _, n := range s.Nodes {
		for _, v := range n.State.Suspects {
			if old := found[v.Fingerprint]; len(v.Lost) >= old.Crashes {
				found[v.Fingerprint] = SuspectReport{Fingerprint: v.Fingerprint, Part: v.Part, Crashes: len(v.Lost), Refused: v.Convicted || old.Refused, Until: v.Until}
			}
		}
	}
	return slices.SortedFunc(maps.Values(found), func(a, b SuspectReport) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}
