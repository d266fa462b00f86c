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

// setFaults sets the faults that a stand-in process injects.
func (p *process) setFaults(t *testing.T, s standin.FaultState) {
	t.Helper()
	raw, err := json.Marshal(s)
	is.New(t).NoErr(err)
	resp, err := http.Post("http://"+p.addresses["address"]+standin.PathFaults, "application/json", bytes.NewReader(raw))
	is.New(t).NoErr(err)
	resp.Body.Close()
}

// confirmAttempt is the answer to one attempt of a confirmation, and how often the
// key had run when the answer arrived.
type confirmAttempt struct {
	key        string
	executions int
	answer     answer
}

func (f *fleet) confirm(t *testing.T, p *process, key string) confirmAttempt {
	got := send(p, confirmPath, `{}`, map[string]string{"Idempotency-Key": key})
	return confirmAttempt{key: key, executions: f.executionCounts(t)[key], answer: got}
}

// checkAttempts checks that no key ran twice, and that each answer agrees with the
// number of executions that the services counted.
func (f *fleet) checkAttempts(t *testing.T, attempts []confirmAttempt) {
	t.Helper()
	for key, count := range f.executionCounts(t) {
		if count > 1 {
			t.Errorf("%s ran %d times", key, count)
		}
	}
	firstBodies := map[string]string{}
	for _, attempt := range attempts {
		body := attempt.answer.body
		if attempt.answer.status == http.StatusOK {
			if attempt.executions != 1 || (firstBodies[attempt.key] != "" && firstBodies[attempt.key] != body) {
				t.Errorf("%s: answered %s and %s after %d runs", attempt.key, body, firstBodies[attempt.key], attempt.executions)
			}
			firstBodies[attempt.key] = body
		}
		if strings.Contains(body, `"ran":"no"`) && !strings.Contains(body, `"earlier"`) && attempt.executions > 0 {
			t.Errorf("%s ran and was refused with %s", attempt.key, body)
		}
	}
}

// considersLive reports whether node p considers the node with the given ID live.
func (f *fleet) considersLive(p *process, id string) bool {
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

// confirmDuringFaults sends one confirmation per offset, at once to a node of its
// own and to the last node, and sends the signal to the former after the offset. It
// repeats the confirmation at the last node then, again once the signalled node
// counts as unreachable, and at the end. It returns all attempts.
func confirmDuringFaults(t *testing.T, f *fleet, offsets []time.Duration, signal syscall.Signal) []confirmAttempt {
	t.Helper()
	survivor := f.nodes[len(f.nodes)-1]
	f.platform.setFaults(t, standin.FaultState{Delay: 200 * time.Millisecond})
	for _, s := range f.services {
		s.setFaults(t, standin.FaultState{Delay: 200 * time.Millisecond})
	}
	var mu sync.Mutex
	var attempts []confirmAttempt
	var disturbances, pending sync.WaitGroup
	for i, offset := range offsets {
		key := fmt.Sprintf("seat-%d", i)
		attempt := func(p *process) {
			c := f.confirm(t, p, key)
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, c)
		}
		pending.Go(func() { attempt(f.nodes[i]) })
		pending.Go(func() { attempt(survivor) })
		disturbances.Go(func() {
			time.Sleep(offset)
			f.nodes[i].signal(t, signal)
			attempt(survivor)
		})
	}
	disturbances.Wait()
	f.platform.setFaults(t, standin.FaultState{})
	for i := range offsets {
		eventually(t, "the node counts as unreachable", func() bool { return !f.considersLive(survivor, fmt.Sprintf("entry-%d", i)) })
		c := f.confirm(t, survivor, fmt.Sprintf("seat-%d", i))
		mu.Lock()
		attempts = append(attempts, c)
		mu.Unlock()
	}
	if signal == syscall.SIGSTOP {
		for i := range offsets {
			f.nodes[i].signal(t, syscall.SIGCONT)
		}
	}
	pending.Wait()
	for i := range offsets {
		attempts = append(attempts, f.confirm(t, survivor, fmt.Sprintf("seat-%d", i)))
	}
	return attempts
}

// Guards against a confirmation that runs twice: nodes are frozen at every stage of
// it until they count as unreachable, and then resume. The services do not check
// fencing numbers.
func TestFrozenNodesConfirmAtMostOnce(t *testing.T) {
	f := startFleet(t, 6, 1, 2)
	offsets := []time.Duration{50, 250, 350, 450, 550}
	for i := range offsets {
		offsets[i] *= time.Millisecond
	}
	attempts := confirmDuringFaults(t, f, offsets, syscall.SIGSTOP)
	f.checkAttempts(t, attempts)
}
