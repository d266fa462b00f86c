package wire

import (
	"context"
	"fmt"
	"math"
	"testing"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
)

func (benchHandler) Evidence(EvidenceArgs, *EvidenceReply) error { return nil }

// The size of the fleet that the design assumes, and how often a node sends
// evidence at that size.
const (
	designNodes    = 340
	designCentres  = 9
	designVersions = 16
	rolloutEvery   = designNodes * 0.040 // seconds
	watchEvery     = designNodes * 0.150 // seconds
	// headerBytes is the size of the TCP and IP headers of a segment and its
	// acknowledgement, segmentSize the payload of a segment.
	headerBytes = 104
	segmentSize = 1448
)

// sampleReports returns the totals of nodes that have run for hours.
func sampleReports(nodes, versions int) []rollout.Report {
	var out []rollout.Report
	for node := range nodes {
		r := rollout.Report{Process: rollout.Process{Node: fmt.Sprintf("entry-%03d", node), Incarnation: 1_790_000_000_000_000_000 + uint64(node)}, Totals: rollout.Totals{}}
		for v := range versions {
			t := config.Target{Model: fmt.Sprintf("model-%d", v/2), Version: fmt.Sprintf("v%d", v)}
			r.Totals[t] = rollout.Evidence{Rated: rollout.Counts{Good: 4000 + node, Bad: 800 + node}, Served: rollout.Counts{Good: 20000 + node, Bad: 10}, Timely: rollout.Counts{Good: 19000, Bad: 1000 + node}}
		}
		out = append(out, r)
	}
	return out
}

// callBytes measures the bytes of one Evidence call and its answer over the
// loopback interface, and adds those of the headers.
func callBytes(b *testing.B, reports []rollout.Report) float64 {
	address, peers, bytes := serveLoopback(b)
	args := PackEvidence(reports, false)
	call := func() {
		if err := peers.Call(context.Background(), address, "Evidence", args, &EvidenceReply{}); err != nil {
			b.Fatal(err)
		}
	}
	call()
	bytes.Store(0)
	const calls = 100
	for range calls {
		call()
	}
	nodeBytes := float64(bytes.Load()) / calls
	return nodeBytes + headerBytes*(1+math.Ceil(nodeBytes/segmentSize))
}

// BenchmarkEvidence computes the traffic of evidence at its receivers for the
// design size, in bytes per second with headers, from measured messages. An
// aggregator receives from the nodes of its data centre, a rollout controller from
// the aggregators of all data centres.
func BenchmarkEvidence(b *testing.B) {
	nodesPerCentre := designNodes / designCentres
	for _, c := range []struct {
		name     string
		versions int
		every    float64
	}{{"rollout", 2, rolloutEvery}, {"watch", designVersions, watchEvery}} {
		b.Run(c.name, func(b *testing.B) {
			var nodeBytes, centreBytes float64
			for b.Loop() {
				nodeBytes = callBytes(b, sampleReports(1, c.versions))
				centreBytes = callBytes(b, sampleReports(nodesPerCentre, c.versions))
			}
			b.ReportMetric(nodeBytes, "bytes/telling")
			b.ReportMetric(centreBytes, "bytes/passing-on")
			b.ReportMetric(nodeBytes/c.every, "node-B/s")
			b.ReportMetric((nodeBytes*float64(nodesPerCentre-1)+centreBytes)/c.every, "gatherer-B/s")
			b.ReportMetric(centreBytes*designCentres/c.every, "driver-B/s")
			b.ReportMetric(nodeBytes*designNodes/c.every, "driver-told-by-all-B/s")
		})
	}
}
