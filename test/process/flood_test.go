package process

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

const (
	floodCallers = 120
	urgentCalls  = 5
)

// Guards against urgent calls that starve behind a flood of background calls on
// two engines, and against background calls that wait out their deadline instead
// of being refused early with Retry-After.
func TestFloodAcrossProcesses(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 2, 1, "--slots", "16", "--base-interval", "20ms", "--per-stream", "1ms")
	var running, served, refused atomic.Int64
	var failures sync.Map
	var wg sync.WaitGroup
	for i := range floodCallers {
		running.Add(1)
		wg.Go(func() {
			defer running.Add(-1)
			body := fmt.Sprintf(`{"model":"auto","max_tokens":200,"messages":[{"role":"user","content":"summary %d"}]}`, i)
			got := send(f.nodes[i%len(f.nodes)], chatPath, body, map[string]string{"X-Rank": "background", "X-Deadline-Ms": "20000"})
			switch retryAfter, err := strconv.Atoi(got.header.Get("Retry-After")); {
			case got.status == http.StatusOK:
				served.Add(1)
			case err == nil && retryAfter > 0 && strings.Contains(got.body, `"ran":"no"`) && running.Load() > 1:
				refused.Add(1)
			default:
				failures.Store(i, got)
			}
		})
	}
	eventually(t, "a refusal while the flood runs", func() bool { return refused.Load() > 0 && running.Load() > 0 })
	for range urgentCalls {
		got := send(f.nodes[1], chatPath, chatBody, map[string]string{"X-Rank": "urgent"})
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
	}
	is.True(running.Load() > 0) // the urgent calls were answered before the flood ended
	wg.Wait()
	failures.Range(func(i, got any) bool {
		t.Errorf("background call %v got %+v", i, got)
		return true
	})
	is.True(served.Load() > 0)
}
