package measure

import (
	"fmt"
	"math/rand/v2"
)

// RelayWay is a way to serve the callers of nodes that are cut off from all servers.
type RelayWay int

// The ways that are compared.
const (
	// RefuseOnly refuses what a cut-off node cannot send.
	RefuseOnly RelayWay = iota
	// LeaveDirectory withdraws cut-off nodes from the directory.
	LeaveDirectory
	// RelayConnections opens connections through nodes that reach the servers.
	RelayConnections
	// RelayAndLeave does both.
	RelayAndLeave
)

// String implements fmt.Stringer.
func (w RelayWay) String() string {
	return [...]string{"refuse", "leave the directory", "relay connections", "relay and leave"}[w]
}

// RelayTrial is a fleet of which some nodes are cut off from all servers for 12 s.
type RelayTrial struct {
	Nodes, DataCentres int
	// CutOff is how many nodes are cut off, those of the first data centre first.
	CutOff int
	// RelayCost is the processor time of carrying a connection, as a part of a request's.
	RelayCost float64
}

// RelayResult is what a way achieves from 3 s after the cut began.
type RelayResult struct {
	// Served is the share of first tries at cut-off nodes that are served, Reached the share
	// of all first tries that still go to them.
	Served, Reached float64
	// Busiest is the load of the busiest node, as a multiple of the mean before the cut.
	Busiest float64
}

const (
	relayCutTime    = 12.0 // seconds
	relayJudgedFrom = 3.0
	// relayNoticeTime is how long it takes until a node leaves and all directories know.
	relayNoticeTime    = 1.5
	relayDirectoryTTL  = 2.0
	relayLongTTL       = 6.0 // of a third of the callers
	relayCallersANode  = 20
	relayRequestsACall = 1.0 // requests of a caller in a second
)

// Run plays the trial.
func (t RelayTrial) Run(way RelayWay, seed uint64) RelayResult {
	random := rand.New(rand.NewPCG(seed, 9))
	leaves := way == LeaveDirectory || way == RelayAndLeave
	relays := way == RelayConnections || way == RelayAndLeave
	load := make([]float64, t.Nodes)
	var atCut, served, total float64
	for caller := range t.Nodes * relayCallersANode {
		ttl := relayDirectoryTTL
		if caller%3 == 0 {
			ttl = relayLongTTL
		}
		lookup := -random.Float64() * ttl
		for at := random.Float64() / relayRequestsACall; at < relayCutTime; at += 1 / relayRequestsACall {
			for lookup+ttl <= at {
				lookup += ttl
			}
			first := 0
			if leaves && lookup >= relayNoticeTime && t.CutOff < t.Nodes {
				first = t.CutOff // the listed nodes follow the cut-off ones
			}
			node := first + random.IntN(t.Nodes-first)
			if at < relayJudgedFrom {
				continue
			}
			total++
			if node < t.CutOff {
				atCut++
				if !relays || t.CutOff == t.Nodes {
					continue
				}
				served++
				load[t.CutOff+random.IntN(t.Nodes-t.CutOff)] += t.RelayCost
			}
			load[node]++
		}
	}
	r := RelayResult{Reached: atCut / total}
	if atCut > 0 {
		r.Served = served / atCut
	}
	for _, l := range load {
		r.Busiest = max(r.Busiest, l*float64(t.Nodes)/total)
	}
	return r
}

// RelayTable compares the ways at fleets of several sizes.
func RelayTable(relayCost float64, seed uint64) *Table {
	table := &Table{Columns: []string{"nodes", "cut off", "way", "served there", "still go there", "busiest node"}}
	for _, t := range []RelayTrial{{6, 3, 1, relayCost}, {6, 3, 2, relayCost}, {24, 3, 1, relayCost}, {24, 3, 8, relayCost}, {195, 3, 1, relayCost}, {195, 3, 65, relayCost}, {340, 9, 1, relayCost}, {340, 9, 38, relayCost}, {8, 3, 5, relayCost}} {
		for way := RefuseOnly; way <= RelayAndLeave; way++ {
			r := t.Run(way, seed)
			table.AddRow(fmt.Sprint(t.Nodes), fmt.Sprint(t.CutOff), way.String(), fmt.Sprintf("%.2f", r.Served), fmt.Sprintf("%.3f", r.Reached), fmt.Sprintf("%.2f", r.Busiest))
		}
	}
	return table
}
