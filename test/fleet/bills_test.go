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

// till sends chats and keeps who was served. It is safe for concurrent use.
type till struct {
	w      *world
	mu     sync.Mutex
	served map[string]bool // guarded by mu, by request
	sent   int             // guarded by mu
}

// chat sends one request and returns its answer.
func (c *till) chat(node string) answer {
	c.mu.Lock()
	c.sent++
	text := fmt.Sprintf("question %d", c.sent)
	c.mu.Unlock()
	a := c.w.post(node, org, chatPath, chatBody(text, 20), nil)
	if a.err == nil && a.status == http.StatusOK {
		c.serve(a.header.Get(gateway.HeaderRequestID))
	}
	return a
}

// serve notes a request that was served.
func (c *till) serve(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served[id] = true
}

func newTill(w *world) *till { return &till{w: w, served: map[string]bool{}} }

// check compares who was served with the bills stored: none missing, none
// twice. Spare is how many bills there may be of requests whose answer was
// lost with its node.
func (c *till) check(spare int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.w.faults
	bills := map[string]int{}
	for _, id := range c.w.bills() {
		bills[id]++
	}
	for id := range c.served {
		f.check(bills[id] == 1, "request %s was served and has %d bills", id, bills[id])
	}
	f.check(len(bills) <= len(c.served)+spare, "%d bills for %d requests served", len(bills), len(c.served))
}

// setStore changes how the platform's table behaves.
func (w *world) setStore(s standin.FaultState) { w.platform.Faults.Set(s) }

// Bills outlive a long store outage and the death of a node that has not
// stored them; another node stores them for it.
func TestBillsOutliveOutageAndKill(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		c := newTill(w)
		w.setStore(standin.FaultState{Stopped: true})
		for range 20 {
			for _, id := range w.ids() {
				f.check(c.chat(id).status == http.StatusOK, "%s did not serve", id)
			}
			w.sleep(time.Minute)
		}
		w.kill("entry-1")
		w.sleep(10 * time.Minute)
		w.setStore(standin.FaultState{})
		w.sleep(time.Minute)
		c.check(0)
	})
}

// A node is killed right after it served, before any bill could be stored.
func TestBillsOfKilledNode(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		c := newTill(w)
		for _, id := range []string{"entry-1", "entry-2"} {
			for range 5 {
				f.check(c.chat(id).status == http.StatusOK, "%s did not serve", id)
			}
			w.kill(id)
			w.sleep(10 * time.Second)
		}
		w.sleep(time.Minute)
		c.check(0)
	})
}

// Every reply of the store is lost for a while, and the node is cut off the
// other that has its copies.
func TestBillsLoseReplies(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		c := newTill(w)
		for round := range 5 {
			w.setStore(standin.FaultState{LoseReplies: 10 + round})
			w.net.cut("entry-1", "entry-2", round%2 == 0)
			for _, id := range w.ids() {
				c.chat(id)
			}
			w.sleep(30 * time.Second)
		}
		w.setStore(standin.FaultState{})
		w.sleep(time.Minute)
		c.check(0)
		f.check(len(c.served) == 15, "%d of 15 were served", len(c.served))
	})
}

// All nodes are replaced one after another while the store is away: each
// hands its bills, and the copies that it keeps, to the next.
func TestBillsOutliveRollingStopInOutage(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		c := newTill(w)
		w.peers = true
		w.setStore(standin.FaultState{Stopped: true})
		for _, id := range w.ids() {
			for range 3 {
				c.chat(id)
			}
		}
		f.check(len(c.served) == 9, "%d of 9 were served", len(c.served))
		for i, id := range w.ids() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			f.check(w.nodes[id].node.Shutdown(ctx) == nil, "%s did not stop gracefully", id)
			cancel()
			delete(w.nodes, id)
			w.addNode(fmt.Sprintf("entry-%d", i+4), w.shape.DataCentres[i%3])
			w.sleep(30 * time.Second)
		}
		w.setStore(standin.FaultState{})
		w.sleep(time.Minute)
		c.check(0)
	})
}

// A node whose time to leave ends in an outage, as the outcome of a call that
// runs once can't be stored, has handed its bills to more than one node: one of
// them dies right then.
func TestBillsOfANodeThatRanOutOfTime(t *testing.T) {
	for _, victim := range []string{"entry-2", "entry-3"} {
		virtual(t, func(f *faults) {
			w := newWorld(f, worldOptions{})
			defer w.close()
			c := newTill(w)
			for _, service := range w.dialer.services {
				service.Faults.Set(standin.FaultState{Delay: 2 * time.Second})
			}
			d := &desk{w: w}
			go d.confirm("entry-1", "seat")
			w.sleep(time.Second)
			w.setStore(standin.FaultState{Stopped: true})
			w.sleep(5 * time.Second)
			for range 5 {
				c.chat("entry-1")
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_ = w.nodes["entry-1"].node.Shutdown(ctx)
			f.check(ctx.Err() != nil, "the node left in time: nothing kept it")
			delete(w.nodes, "entry-1")
			w.kill(victim)
			w.sleep(time.Minute)
			w.setStore(standin.FaultState{})
			w.sleep(time.Minute)
			c.check(1)
		})
	}
}

// A node that stops alone, with the store away at first, stores its bills
// before it ends.
func TestLastNodeStoresItsBillsBeforeItEnds(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{nodes: 1})
		defer w.close()
		c := newTill(w)
		w.setStore(standin.FaultState{Stopped: true})
		c.chat("entry-1")
		done := make(chan error, 1)
		go func() { done <- w.nodes["entry-1"].node.Shutdown(context.Background()) }()
		w.sleep(time.Minute)
		w.setStore(standin.FaultState{})
		f.check(<-done == nil, "it did not stop gracefully")
		delete(w.nodes, "entry-1")
		c.check(0)
		f.check(len(c.served) == 1, "the chat was not served")
	})
}

// A stream that breaks and goes on elsewhere is billed once, for the whole
// answer.
func TestResumedAnswerIsBilledOnce(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{engine: standin.EngineOptions{BaseInterval: 50 * time.Millisecond}})
		defer w.close()
		c := newTill(w)
		done := make(chan answer, 1)
		go func() { done <- c.chat("entry-1") }()
		w.sleep(300 * time.Millisecond)
		for _, e := range w.dialer.engines {
			if len(e.Runs()) > 0 {
				e.Crash()
			}
		}
		a := <-done
		f.check(a.status == http.StatusOK, "answer: %+v", a)
		w.sleep(time.Minute)
		c.check(0)
		rows, err := w.platform.List(context.Background(), "bill/", "", 10)
		f.check(err == nil && len(rows) == 1, "%d bills, %v", len(rows), err)
		f.check(len(rows) == 1 && strings.Contains(a.body, `"completion_tokens":`+tokensOf(string(rows[0].Value))+","), "answer %s, bill %s", a.body, rows[0].Value)
	})
}

// tokensOf reads the number of tokens from a bill.
func tokensOf(bill string) string {
	_, rest, _ := strings.Cut(bill, `"tokens":`)
	n, _, _ := strings.Cut(rest, ",")
	return n
}

// Calls that may be repeated and carry one key are billed once for each
// content: a repeat adds nothing, another content and another call do.
func TestKeyOfAnotherContentIsBilledApart(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		const path = "/v1/services/kirjauspalvelu/events"
		key := map[string]string{"Idempotency-Key": "seat-1"}
		for _, call := range []struct{ node, path, body string }{
			{"entry-1", path, `{"a":1}`}, {"entry-2", path, `{"a":1}`},
			{"entry-1", path, `{"a":2}`}, {"entry-1", path + "?a=1", `{"a":1}`}, {"entry-3", path + "/more", `{"a":1}`},
			{"entry-2", confirmPath, `{"a":1}`}, {"entry-1", confirmPath, `{"a":1}`},
		} {
			a := w.post(call.node, org, call.path, call.body, key)
			f.check(a.status == http.StatusOK, "%v: %+v", call, a)
		}
		w.sleep(30 * time.Second)
		f.check(len(w.bills()) == 5, "%d bills for five different calls", len(w.bills()))
	})
}
