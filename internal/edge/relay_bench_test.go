package edge

import (
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// BenchmarkRelayedRequest compares the processor time of plain requests at a node that reaches
// the servers with those of a node that does not: all processes' parts together.
func BenchmarkRelayedRequest(b *testing.B) {
	for _, mode := range []string{"", "refuse"} {
		b.Run("links "+mode, func(b *testing.B) {
			_, addresses := startRanServers(b, 2)
			links := []*cutLink{newCutLink(), newCutLink()}
			_, callers := startFleet(b, 2, addresses, func(i int, o *Options) { o.Schema, o.Dial = relaySchema{}, links[i].dial })
			time.Sleep(3 * time.Second)
			links[1].set(mode)
			client := &http.Client{Timeout: 4 * time.Second}
			for i := range 50 {
				isServed(client, callers[1], "once", "warm"+strconv.Itoa(i))
			}
			var before, after syscall.Rusage
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
			b.ResetTimer()
			for i := range b.N {
				if !isServed(client, callers[1], "once", strconv.Itoa(i)) {
					b.Fatal("not served")
				}
			}
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
			used := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
			b.ReportMetric(float64(used)/float64(b.N)/1000, "cpu-µs/op")
		})
	}
}
