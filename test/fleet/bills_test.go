package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/gateway"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// billChecker sends chats and records which requests were served. It is safe for
// concurrent use.
type billChecker struct {
	sim    *simulation
	mu     sync.Mutex
	served map[string]bool // guarded by mu; by request ID
	sent   int             // guarded by mu
}

// chat sends one request and returns its answer.
func (b *billChecker) chat(node string) answer {
	b.mu.Lock()
	b.sent++
	text := fmt.Sprintf("question %d", b.sent)
	b.mu.Unlock()
	a := b.sim.post(node, org, chatPath, chatBody(text, 20), nil)
	if a.err == nil && a.status == http.StatusOK {
		b.recordServed(a.header.Get(gateway.HeaderRequestID))
	}
	return a
}

// recordServed records that a request was served.
func (b *billChecker) recordServed(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.served[id] = true
}

// newBillChecker returns a checker that has sent nothing yet.
func newBillChecker(sim *simulation) *billChecker {
	return &billChecker{sim: sim, served: map[string]bool{}}
}

// check compares the requests served with the bills stored: none may be missing
// or doubled. There may be up to maxUnanswered further bills, of requests whose
// answer was lost with its node.
func (b *billChecker) check(maxUnanswered int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.sim.failures
	bills := map[string]int{}
	for _, id := range b.sim.storedBills() {
		bills[id]++
	}
	for id := range b.served {
		f.check(bills[id] == 1, "request %s was served and has %d bills, want 1", id, bills[id])
	}
	f.check(len(bills) <= len(b.served)+maxUnanswered, "%d bills for %d served requests", len(bills), len(b.served))
}

// setStoreFaults sets the faults of the platform's table.
func (sim *simulation) setStoreFaults(s standin.FaultState) { sim.platform.Faults.Set(s) }

// The store is down for a long time, and a node crashes before it has stored its
// bills. Another node stores them from its backups.
func TestBillsSurviveStoreOutageAndNodeCrash(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		c := newBillChecker(sim)
		sim.setStoreFaults(standin.FaultState{Stopped: true})
		for range 20 {
			for _, id := range sim.nodeIDs() {
				f.check(c.chat(id).status == http.StatusOK, "%s did not serve", id)
			}
			sim.sleep(time.Minute)
		}
		sim.kill("entry-1")
		sim.sleep(10 * time.Minute)
		sim.setStoreFaults(standin.FaultState{})
		sim.sleep(time.Minute)
		c.check(0)
	})
}

// A node crashes right after it has served requests, before it could store any
// bill.
func TestBillsSurviveNodeCrash(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		c := newBillChecker(sim)
		for _, id := range []string{"entry-1", "entry-2"} {
			for range 5 {
				f.check(c.chat(id).status == http.StatusOK, "%s did not serve", id)
			}
			sim.kill(id)
			sim.sleep(10 * time.Second)
		}
		sim.sleep(time.Minute)
		c.check(0)
	})
}

// The store loses its replies for a while, and the node is cut off from the node
// that has its backups.
func TestBillsAreStoredOnceWhenRepliesAreLost(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		c := newBillChecker(sim)
		for round := range 5 {
			sim.setStoreFaults(standin.FaultState{LoseReplies: 10 + round})
			sim.net.setCut("entry-1", "entry-2", round%2 == 0)
			for _, id := range sim.nodeIDs() {
				c.chat(id)
			}
			sim.sleep(30 * time.Second)
		}
		sim.setStoreFaults(standin.FaultState{})
		sim.sleep(time.Minute)
		c.check(0)
		f.check(len(c.served) == 15, "%d of 15 were served", len(c.served))
	})
}

// All nodes are replaced one after the other while the store is down. Each passes
// its bills, and the backups that it holds for others, to the next.
func TestBillsSurviveRollingReplacementInStoreOutage(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		c := newBillChecker(sim)
		sim.configurePeers = true
		sim.setStoreFaults(standin.FaultState{Stopped: true})
		for _, id := range sim.nodeIDs() {
			for range 3 {
				c.chat(id)
			}
		}
		f.check(len(c.served) == 9, "%d of 9 were served", len(c.served))
		for i, id := range sim.nodeIDs() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			f.check(sim.nodes[id].node.Shutdown(ctx) == nil, "%s did not shut down gracefully", id)
			cancel()
			delete(sim.nodes, id)
			sim.addNode(fmt.Sprintf("entry-%d", i+4), sim.deployment.DataCentres[i%3])
			sim.sleep(30 * time.Second)
		}
		sim.setStoreFaults(standin.FaultState{})
		sim.sleep(time.Minute)
		c.check(0)
	})
}

// A node's shutdown runs out of time in a store outage, because the outcome of an
// at-most-once call can't be stored. By then the node has passed its bills to more
// than one node; one of those crashes right away.
func TestBillsSurviveShutdownTimeout(t *testing.T) {
	for _, victim := range []string{"entry-2", "entry-3"} {
		withVirtualClock(t, func(f *failures) {
			sim := newSimulation(f, simulationOptions{})
			defer sim.close()
			c := newBillChecker(sim)
			for _, service := range sim.dialer.services {
				service.Faults.Set(standin.FaultState{Delay: 2 * time.Second})
			}
			d := &confirmationChecker{sim: sim}
			go d.confirm("entry-1", "seat")
			sim.sleep(time.Second)
			sim.setStoreFaults(standin.FaultState{Stopped: true})
			sim.sleep(5 * time.Second)
			for range 5 {
				c.chat("entry-1")
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_ = sim.nodes["entry-1"].node.Shutdown(ctx)
			f.check(ctx.Err() != nil, "the node shut down in time: nothing delayed its shutdown")
			delete(sim.nodes, "entry-1")
			sim.kill(victim)
			sim.sleep(time.Minute)
			sim.setStoreFaults(standin.FaultState{})
			sim.sleep(time.Minute)
			c.check(1)
		})
	}
}

// The only node shuts down while the store is down. It stores its bills when the
// store is back, before it stops.
func TestLastNodeStoresBillsBeforeStopping(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{nodes: 1})
		defer sim.close()
		c := newBillChecker(sim)
		sim.setStoreFaults(standin.FaultState{Stopped: true})
		c.chat("entry-1")
		done := make(chan error, 1)
		go func() { done <- sim.nodes["entry-1"].node.Shutdown(context.Background()) }()
		sim.sleep(time.Minute)
		sim.setStoreFaults(standin.FaultState{})
		f.check(<-done == nil, "the last node did not shut down gracefully")
		delete(sim.nodes, "entry-1")
		c.check(0)
		f.check(len(c.served) == 1, "the chat was not served")
	})
}

// A stream that breaks and is resumed at another engine is billed once, for the
// complete answer.
func TestResumedAnswerIsBilledOnce(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engine: standin.EngineOptions{BaseInterval: 50 * time.Millisecond}})
		defer sim.close()
		c := newBillChecker(sim)
		done := make(chan answer, 1)
		go func() { done <- c.chat("entry-1") }()
		sim.sleep(300 * time.Millisecond)
		for _, e := range sim.dialer.engines {
			if len(e.Runs()) > 0 {
				e.Crash()
			}
		}
		a := <-done
		f.check(a.status == http.StatusOK, "answer: %+v", a)
		sim.sleep(time.Minute)
		c.check(0)
		rows, err := sim.platform.List(context.Background(), "bill/", "", 10)
		f.check(err == nil && len(rows) == 1, "%d bills, %v", len(rows), err)
		f.check(len(rows) == 1 && strings.Contains(a.body, `"completion_tokens":`+billTokens(string(rows[0].Value))+","), "answer %s, bill %s", a.body, rows[0].Value)
	})
}

// billTokens returns the number of tokens of an encoded bill.
func billTokens(bill string) string {
	_, rest, _ := strings.Cut(bill, `"tokens":`)
	n, _, _ := strings.Cut(rest, ",")
	return n
}

// Repeatable calls that share an idempotency key are billed once for each content:
// a repeat adds no bill; other content, another path and an at-most-once call do.
func TestSameKeyWithDifferentContentIsBilledSeparately(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		const path = "/v1/services/kirjauspalvelu/events"
		key := map[string]string{"Idempotency-Key": "seat-1"}
		for _, call := range []struct{ node, path, body string }{
			{"entry-1", path, `{"a":1}`}, {"entry-2", path, `{"a":1}`},
			{"entry-1", path, `{"a":2}`}, {"entry-1", path + "?a=1", `{"a":1}`}, {"entry-3", path + "/more", `{"a":1}`},
			{"entry-2", confirmPath, `{"a":1}`}, {"entry-1", confirmPath, `{"a":1}`},
		} {
			a := sim.post(call.node, org, call.path, call.body, key)
			f.check(a.status == http.StatusOK, "%v: %+v", call, a)
		}
		sim.sleep(30 * time.Second)
		f.check(len(sim.storedBills()) == 5, "%d bills for five different calls", len(sim.storedBills()))
	})
}
