package wire

import (
	"context"
	"fmt"
	"math"
	"testing"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
)

func (answerAll) Evidence(EvidenceArgs, *EvidenceReply) error { return nil }

// The design size, and how often evidence is told there.
const (
	designNodes    = 340
	designCentres  = 9
	designVersions = 16
	rolloutEvery   = designNodes * 0.040 // seconds
	watchEvery     = designNodes * 0.150 // seconds
	// segmentBytes is what TCP and IP add to a segment and its
	// acknowledgement, segmentSize the payload of one.
	segmentBytes = 104
	segmentSize  = 1448
)

// someReports are the totals of nodes that have run for hours.
func someReports(nodes, versions int) []rollout.Report {
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

// callBytes measures one telling and its answer over loopback, with headers.
func callBytes(b *testing.B, reports []rollout.Report) float64 {
	address, peers, bytes := loopback(b)
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
	one := float64(bytes.Load()) / calls
	return one + segmentBytes*(1+math.Ceil(one/segmentSize))
}

// BenchmarkEvidence works out what evidence costs the nodes that hear it at
// the design size, in bytes a second with headers, from measured messages: a
// gatherer hears the nodes of its data centre, a driver the gatherers of all.
func BenchmarkEvidence(b *testing.B) {
	perCentre := designNodes / designCentres
	for _, c := range []struct {
		name     string
		versions int
		every    float64
	}{{"rollout", 2, rolloutEvery}, {"watch", designVersions, watchEvery}} {
		b.Run(c.name, func(b *testing.B) {
			var one, centre float64
			for b.Loop() {
				one = callBytes(b, someReports(1, c.versions))
				centre = callBytes(b, someReports(perCentre, c.versions))
			}
			b.ReportMetric(one, "bytes/telling")
			b.ReportMetric(centre, "bytes/passing-on")
			b.ReportMetric(one/c.every, "node-B/s")
			b.ReportMetric((one*float64(perCentre-1)+centre)/c.every, "gatherer-B/s")
			b.ReportMetric(centre*designCentres/c.every, "driver-B/s")
			b.ReportMetric(one*designNodes/c.every, "driver-told-by-all-B/s")
		})
	}
}
