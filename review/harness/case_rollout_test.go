//go:build review

package harness

import (
	"encoding/base64"
	"fmt"
	"strings"
	"sync"
	"time"
)

// rolloutS is durationS of the roll-out's order.
const rolloutS = 12

// text returns the data of a row.
func (s *store) text(table, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, _ := base64.StdEncoding.DecodeString(s.rows[table+"/"+key].Data)
	return string(raw)
}

// goodRollout brings in a new, good version of a service. At "completed" the platform stops
// the old replicas at once, without draining.
func goodRollout(b *bench) int {
	old := deploy(b, 2, 3, 8, 1200*time.Millisecond)["lookup"]
	var out results
	began := time.Now()
	until := began.Add(80 * time.Second)
	var flows sync.WaitGroup
	flows.Go(func() {
		traffic(b, &out, lookupsPerS, until, func() call {
			return call{method: "GET", path: lookupPath, key: consumerKey, budget: 5 * time.Second}
		})
	})
	flows.Go(func() {
		traffic(b, &out, sheetsPerS, until, func() call {
			return call{method: "POST", path: archivePath, key: consumerKey, body: []byte(newID()), budget: 5 * time.Second}
		})
	})
	time.Sleep(2 * time.Second)
	if b.trouble {
		for i := range old {
			s := startServer(b.record, fmt.Sprintf("i-lookup-v2-%d", i+1), "lookup", "127.0.0.1:0", old[i].work)
			row := s.row("ready", s.born)
			row["version"] = "v2"
			b.store.put("servers", s.id, row)
		}
		b.store.put("op", "rollout/lookup", map[string]any{"service": "lookup", "to": "v2", "durationS": rolloutS})
		b.record.add("rollout  of v2 is ordered")
		for !strings.Contains(b.store.text("status", "rollout/lookup"), "completed") && time.Now().Before(until) {
			time.Sleep(5 * time.Millisecond)
		}
		b.record.add("status   %s", b.store.text("status", "rollout/lookup"))
		var ends sync.WaitGroup
		for _, s := range old {
			b.record.add("stop     %s with %d requests", s.id, s.running.Load())
			ends.Go(s.crash)
		}
		ends.Wait()
		for _, s := range old {
			b.store.remove("servers", s.id)
		}
	}
	flows.Wait()
	return judgeLookups(b, out.between(began, until))
}
