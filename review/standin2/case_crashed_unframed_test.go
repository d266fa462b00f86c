//go:build review2

package standin2

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// events is the number of events of a stream.
const events = 60

// crashedUnframed sends streams and plain requests to nine replicas whose answers carry neither a
// length nor chunks and end with their channel. With trouble a node freezes for a second from
// time to time, and meanwhile a replica crashes, which is back three seconds later.
func crashedUnframed(f *fleet, trouble bool) ([]string, error) {
	f.configure(7,
		route("letters", "/letters/", "streaming", "engines", 10000, 2000, 3, true),
		route("reads", "/plain/", "idempotent", "engines", 5000, 2000, 2, false))
	zones := []string{"lahti-1", "kouvola-1", "hml-1"}
	options := []string{"unframed=true", fmt.Sprintf("events=%d", events), "pause_ms=30"}
	var list []*process
	for i := range 9 {
		p, err := f.startReplica(fmt.Sprintf("i-engine%d", i), "engines", zones[i%3], "", options...)
		if err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	if err := f.startNodes(8); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var crashes sync.WaitGroup
	var failure error
	crashes.Go(func() {
		for k := 0; trouble && k < 7; k++ {
			time.Sleep(3 * time.Second)
			node, r := f.nodes[k%len(f.nodes)], list[k%len(list)]
			f.say("%s freezes", node.name)
			_ = node.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(500 * time.Millisecond)
			f.kill(r)
			time.Sleep(500 * time.Millisecond)
			_ = node.cmd.Process.Signal(syscall.SIGCONT)
			f.say("%s goes on", node.name)
			time.Sleep(2500 * time.Millisecond)
			next, err := f.startReplica(fmt.Sprintf("i-engine%d", len(list)+k), "engines", zones[k%3], "", options...)
			if err != nil {
				failure = err
				return
			}
			list[k%len(list)] = next
		}
	})
	var mu sync.Mutex
	var broken []string
	forEach(4500, 10*time.Millisecond, func(i int) {
		id, node := fmt.Sprintf("%016x", 0x7000000000000000+i), f.nodes[i%len(f.nodes)]
		path, want, timeout, rule := "/letters/2f", wholeStream(id), 10*time.Second, "ORDER: the stream ended as complete before its last event"
		if i%5 == 0 {
			path, want, timeout, rule = "/plain/2f", wholePlain(id), 5*time.Second, "MIXED: success with a part of the replica's body"
		}
		a := f.send(node, "POST", path, id, timeout, engineHeaders(i), fmt.Sprintf(`{"draft":%d}`, i))
		f.say("client %s got from %s: %s status %d, complete %t, %d of %d bytes, error %v", id, node.name, path, a.status, a.complete, len(a.body), len(want), a.err)
		if a.status == 200 && a.complete && a.body != want {
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, fmt.Sprintf("%s: request %s by %s got %d of %d bytes, the last %q", rule, id, node.name, len(a.body), len(want), last(a.body)))
		}
	})
	crashes.Wait()
	return broken, failure
}

// wholeStream returns all events of a stream.
func wholeStream(id string) string {
	var s strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&s, "id: %d\ndata: %s %d of %d\n\n", n, id, n, events)
	}
	return s.String()
}

// wholePlain returns the body of a plain answer.
func wholePlain(id string) string {
	var s strings.Builder
	for n := 1; n <= plainParts; n++ {
		s.WriteString(plainPart(id, n))
	}
	return s.String()
}

// last returns the last line of a text.
func last(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return lines[len(lines)-1]
}
