package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/node"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// setFaults makes a stand-in process misbehave.
func (p *process) setFaults(t *testing.T, s standin.FaultState) {
	t.Helper()
	raw, err := json.Marshal(s)
	is.New(t).NoErr(err)
	resp, err := http.Post("http://"+p.addresses["address"]+standin.PathFaults, "application/json", bytes.NewReader(raw))
	is.New(t).NoErr(err)
	resp.Body.Close()
}

// confirmTry is one try of a confirmation and how often its key had run when
// it was answered.
type confirmTry struct {
	key    string
	calls  int
	answer answer
}

func (f *fleet) confirm(t *testing.T, p *process, key string) confirmTry {
	a := send(p, confirmPath, `{}`, map[string]string{"Idempotency-Key": key})
	return confirmTry{key: key, calls: f.calls(t)[key], answer: a}
}

// checkTries compares answers with the services' own count of calls.
func (f *fleet) checkTries(t *testing.T, tries []confirmTry) {
	t.Helper()
	for key, n := range f.calls(t) {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	bodies := map[string]string{}
	for _, c := range tries {
		b := c.answer.body
		if c.answer.status == http.StatusOK {
			if c.calls != 1 || (bodies[c.key] != "" && bodies[c.key] != b) {
				t.Errorf("%s: answered %s and %s after %d runs", c.key, b, bodies[c.key], c.calls)
			}
			bodies[c.key] = b
		}
		if strings.Contains(b, `"ran":"no"`) && !strings.Contains(b, `"earlier"`) && c.calls > 0 {
			t.Errorf("%s ran and was refused with %s", c.key, b)
		}
	}
}

// sees tells whether a node takes another for live.
func (f *fleet) sees(p *process, id string) bool {
	s, err := f.status(p)
	if err != nil {
		return false
	}
	for _, n := range s.Nodes {
		if n.ID == id {
			return n.State != node.StateUnreachable
		}
	}
	return false
}

// disturbed sends one confirmation for each offset to a node of its own and
// to the last node at once, disturbs the former after the offset, lets the
// caller try again then and once the node is taken for dead, and returns all
// answers.
func disturbed(t *testing.T, f *fleet, offsets []time.Duration, signal syscall.Signal) []confirmTry {
	t.Helper()
	last := f.nodes[len(f.nodes)-1]
	f.platform.setFaults(t, standin.FaultState{Delay: 200 * time.Millisecond})
	for _, s := range f.services {
		s.setFaults(t, standin.FaultState{Delay: 200 * time.Millisecond})
	}
	var mu sync.Mutex
	var tries []confirmTry
	var first, calls sync.WaitGroup
	for i, offset := range offsets {
		key := fmt.Sprintf("seat-%d", i)
		try := func(p *process) {
			c := f.confirm(t, p, key)
			mu.Lock()
			defer mu.Unlock()
			tries = append(tries, c)
		}
		calls.Go(func() { try(f.nodes[i]) })
		calls.Go(func() { try(last) })
		first.Go(func() {
			time.Sleep(offset)
			f.nodes[i].signal(t, signal)
			try(last)
		})
	}
	first.Wait()
	f.platform.setFaults(t, standin.FaultState{})
	for i := range offsets {
		eventually(t, "the node is taken for dead", func() bool { return !f.sees(last, fmt.Sprintf("entry-%d", i)) })
		c := f.confirm(t, last, fmt.Sprintf("seat-%d", i))
		mu.Lock()
		tries = append(tries, c)
		mu.Unlock()
	}
	if signal == syscall.SIGSTOP {
		for i := range offsets {
			f.nodes[i].signal(t, syscall.SIGCONT)
		}
	}
	calls.Wait()
	for i := range offsets {
		tries = append(tries, f.confirm(t, last, fmt.Sprintf("seat-%d", i)))
	}
	return tries
}

// Nodes are frozen at every stage of a confirmation until the others take
// them for dead, and then go on; the services do not check fencing numbers.
func TestFrozenNodesConfirmAtMostOnce(t *testing.T) {
	f := startFleet(t, 6, 1, 2)
	offsets := []time.Duration{50, 250, 350, 450, 550}
	for i := range offsets {
		offsets[i] *= time.Millisecond
	}
	tries := disturbed(t, f, offsets, syscall.SIGSTOP)
	f.checkTries(t, tries)
}
