//go:build review2

package standin2

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// changedPath sends lookups to a route whose prefix is a slash. With trouble the paths begin with
// two slashes, as clients write them that join a base and a path.
func changedPath(f *fleet, trouble bool) ([]string, error) {
	f.configure(7, route("lookups", "/", "idempotent", "desk", 2000, 120, 2, false))
	zones := []string{"lahti-1", "kouvola-1", "hml-1"}
	for i, zone := range zones {
		if _, err := f.startReplica(fmt.Sprintf("i-desk%d", i), "desk", zone, "", "pause_ms=1"); err != nil {
			return nil, err
		}
	}
	if err := f.startNodes(8); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	slashes := "/"
	if trouble {
		slashes = "//"
	}
	var mu sync.Mutex
	sent := map[string]string{}
	forEach(400, 25*time.Millisecond, func(i int) {
		id, node := fmt.Sprintf("%016x", 0x8000000000000000+uint64(i)), f.nodes[i%len(f.nodes)]
		uri := slashes + []string{"plain/2f", "plain/aino%20k", "plain/a%2Fb?day=2"}[i%3]
		mu.Lock()
		sent[id] = uri
		mu.Unlock()
		a := f.send(node, "GET", uri, id, 2*time.Second, nil, "")
		f.say("client %s got from %s: status %d, complete %t, error %v", id, node.name, a.status, a.complete, a.err)
	})
	raw, err := os.ReadFile(f.runsLog())
	if err != nil {
		return nil, err
	}
	var broken []string
	for line := range strings.Lines(string(raw)) {
		p := strings.Fields(line)
		if len(p) == 6 && p[2] == "run" && p[5] != sent[p[3]] {
			broken = append(broken, fmt.Sprintf("UNASKED: request %s was sent with %s, and %s ran it with %s", p[3], sent[p[3]], p[1], p[5]))
		}
	}
	return broken, nil
}
