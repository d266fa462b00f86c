//go:build review2

package standin2

import (
	"fmt"
	"time"
)

// brokenFailure sends streams that may not be resumed, so that each may run once at most. One
// of nine replicas fails a fifth of its requests with its own 500. With trouble it breaks off
// some of these answers, a twentieth of all its answers at most.
func brokenFailure(f *fleet, trouble bool) ([]string, error) {
	f.configure(7, route("letters", "/letters/", "streaming", "engines", 10000, 2000, 3, false))
	zones := []string{"lahti-1", "kouvola-1", "hml-1"}
	for i := 1; i <= 9; i++ {
		var options []string
		if i == 1 {
			options = []string{"fail_each=5"}
			if trouble {
				options = append(options, "break_failures=true", "break_most=0.05")
			}
		}
		if _, err := f.startReplica(fmt.Sprintf("i-engine%d", i), "engines", zones[i%3], "", options...); err != nil {
			return nil, err
		}
	}
	if err := f.startNodes(8); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	forEach(2400, 16*time.Millisecond, func(i int) {
		node := f.nodes[i%len(f.nodes)]
		id := fmt.Sprintf("%016x", 0x6000000000000000+i)
		a := f.send(node, "POST", "/letters/2f", id, 10*time.Second, engineHeaders(i), fmt.Sprintf(`{"draft":%d}`, i))
		f.say("client %s got from %s: status %d, complete %t, %d bytes, error %v", id, node.name, a.status, a.complete, len(a.body), a.err)
	})
	time.Sleep(500 * time.Millisecond)
	var broken []string
	for id, by := range f.runs() {
		if len(by) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: request %s, which isn't idempotent, ran %d times, on %v", id, len(by), by))
		}
	}
	return broken, nil
}
