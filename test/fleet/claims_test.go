package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/embedded"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

const outcomesPath = "/v1/outcomes/kirjauspalvelu/"

// confirmation is one attempt at a call that may run at most once. runsBefore and
// runsAfter are how often the services had run its key when the attempt started and
// when it was answered.
type confirmation struct {
	key, node             string
	runsBefore, runsAfter int
	start, end            time.Time
	answer
}

// confirmationChecker sends confirmations and records their answers. It is safe for
// concurrent use.
type confirmationChecker struct {
	sim      *simulation
	mu       sync.Mutex
	attempts []confirmation // guarded by mu
}

// confirm makes one attempt and returns it.
func (d *confirmationChecker) confirm(node, key string) confirmation {
	c := confirmation{key: key, node: node, runsBefore: d.sim.serviceCalls()[key], start: time.Now()}
	c.answer = d.sim.post(node, org, confirmPath, `{}`, map[string]string{"Idempotency-Key": key})
	c.runsAfter = d.sim.serviceCalls()[key]
	c.end = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts = append(d.attempts, c)
	return c
}

// check compares all answers with the number of calls that the services counted.
func (d *confirmationChecker) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.sim.failures
	for key, n := range d.sim.serviceCalls() {
		f.check(n <= 1, "key %s ran %d times", key, n)
	}
	bodies := map[string]string{}
	for _, c := range d.attempts {
		notRun := strings.Contains(c.body, `"ran":"no"`)
		switch {
		case c.status == http.StatusOK:
			f.check(c.runsAfter == 1, "key %s was answered by %s and ran %d times, want 1", c.key, c.node, c.runsAfter)
			f.check(bodies[c.key] == "" || bodies[c.key] == c.body, "key %s got two answers, %q and %q", c.key, bodies[c.key], c.body)
			bodies[c.key] = c.body
		case notRun && strings.Contains(c.body, `"earlier":"maybe"`):
			f.check(c.runsAfter == c.runsBefore || d.overlapsAnother(c), "%s refused key %s with %s, but it ran meanwhile", c.node, c.key, c.body)
		case notRun:
			// Another attempt in progress may run after this one was refused.
			f.check(c.runsAfter == 0 || c.runsBefore == 0 && d.overlapsAnother(c), "%s refused key %s with %s, but it ran", c.node, c.key, c.body)
		}
	}
}

// overlapsAnother reports whether another attempt at the same key was in progress at
// the same time. The caller holds mu.
func (d *confirmationChecker) overlapsAnother(c confirmation) bool {
	n := 0
	for _, other := range d.attempts {
		if other.key == c.key && !other.start.After(c.end) && !other.end.Before(c.start) {
			n++
		}
	}
	return n > 1
}

// get sends a GET request to a node as a caller of an organisation.
func (sim *simulation) get(id, organisation, path string) answer {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return sim.net.dial("caller")(ctx, id+":callers")
	}}
	req, err := http.NewRequest(http.MethodGet, "http://"+id+path, nil)
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer demo-key-"+organisation)
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}

// setServices sets the work time and the faults of all services.
func (sim *simulation) setServices(workTime time.Duration, state standin.FaultState) {
	for _, s := range sim.dialer.services {
		s.WorkTime = workTime
		s.Faults.Set(state)
	}
}

// A caller sends one confirmation to all nodes at once, twice to each, and repeats it
// later. The store is fast in some rounds and slow in others.
func TestConfirmationSentToAllNodesAtOnce(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		d := &confirmationChecker{sim: sim}
		sim.setServices(2*time.Second, standin.FaultState{})
		for round := range 6 {
			sim.platform.Faults.Set(standin.FaultState{Delay: time.Duration(round%2) * 100 * time.Millisecond})
			key := fmt.Sprintf("seat-%d", round)
			var wg sync.WaitGroup
			for _, id := range sim.nodeIDs() {
				for range 2 {
					wg.Go(func() { d.confirm(id, key) })
				}
			}
			wg.Wait()
			f.check(sim.serviceCalls()[key] == 1, "%s ran %d times", key, sim.serviceCalls()[key])
			for _, id := range sim.nodeIDs() {
				later := d.confirm(id, key)
				f.check(later.status == http.StatusOK, "repeat at %s: %+v", id, later.answer)
			}
		}
		d.check()
		f.check(len(sim.storedBills()) == 6, "%d bills for 6 confirmations", len(sim.storedBills()))
	})
}

// The store loses the replies to the first writes of a confirmation, from none to three
// of them, at several store latencies.
func TestConfirmationWhenStoreRepliesAreLost(t *testing.T) {
	for _, slow := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond} {
		withVirtualClock(t, func(f *failures) {
			sim := newSimulation(f, simulationOptions{})
			defer sim.close()
			d := &confirmationChecker{sim: sim}
			for lost := range 4 {
				key := fmt.Sprintf("seat-%d", lost)
				sim.platform.Faults.Set(standin.FaultState{LoseReplies: lost, Delay: slow})
				first := d.confirm("entry-1", key)
				d.confirm("entry-2", key)
				sim.platform.Faults.Set(standin.FaultState{})
				sim.sleep(10 * time.Second)
				again := d.confirm("entry-2", key)
				f.check(again.status == http.StatusOK, "%d replies lost: first answer %+v, repeat %+v", lost, first.answer, again.answer)
			}
			sim.sleep(10 * time.Second)
			d.check()
			f.check(len(sim.storedBills()) == 4, "%d bills for 4 confirmations", len(sim.storedBills()))
		})
	}
}

// The node that handles a confirmation crashes at each stage of it. Other nodes get
// the same confirmation at once and later.
func TestConfirmationSurvivesNodeCrash(t *testing.T) {
	const workTime = 400 * time.Millisecond
	for _, at := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, time.Second} {
		withVirtualClock(t, func(f *failures) {
			sim := newSimulation(f, simulationOptions{})
			defer sim.close()
			d := &confirmationChecker{sim: sim}
			sim.setServices(workTime, standin.FaultState{})
			sim.platform.Faults.Set(standin.FaultState{Delay: 100 * time.Millisecond})
			done := make(chan confirmation, 1)
			go func() { done <- d.confirm("entry-1", "seat-1") }()
			sim.sleep(at)
			sim.kill("entry-1")
			first := <-done
			d.confirm("entry-2", "seat-1")
			sim.sleep(20 * time.Second)
			later := d.confirm("entry-3", "seat-1")
			f.check(later.status == http.StatusOK || strings.Contains(later.body, `"code":"may_have_run"`), "node crash after %s: first answer %+v, repeat %+v", at, first.answer, later.answer)
			d.check()
		})
	}
}

// A service runs a call and loses its reply, or is down before the call is sent.
func TestConfirmationAtFailingService(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{services: 1})
		defer sim.close()
		d := &confirmationChecker{sim: sim}
		sim.setServices(0, standin.FaultState{LoseReplies: 1})
		lost := d.confirm("entry-1", "lost")
		f.check(strings.Contains(lost.body, `"ran":"maybe"`), "lost reply: %+v", lost.answer)
		for _, id := range sim.nodeIDs() {
			again := d.confirm(id, "lost")
			f.check(strings.Contains(again.body, `"code":"may_have_run"`), "repeat at %s: %+v", id, again.answer)
		}
		sim.setServices(0, standin.FaultState{Stopped: true})
		gone := d.confirm("entry-1", "gone")
		f.check(strings.Contains(gone.body, `"ran":"no"`), "call to the stopped service: %+v", gone.answer)
		sim.setServices(0, standin.FaultState{})
		sim.sleep(5 * time.Second)
		again := d.confirm("entry-2", "gone")
		f.check(again.status == http.StatusOK, "repeat after the service is back: %+v", again.answer)
		d.check()
	})
}

// A caller's deadline passes while its call runs. The outcome is recorded all the
// same, and only the caller's organisation can read it.
func TestOutcomeIsRecordedAfterCallerDeadline(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		d := &confirmationChecker{sim: sim}
		sim.setServices(3*time.Second, standin.FaultState{})
		short := sim.post("entry-1", org, confirmPath, `{}`, map[string]string{"Idempotency-Key": "a/b c", "X-Deadline-Ms": "1000"})
		f.check(strings.Contains(short.body, `"ran":"maybe"`), "answer at the deadline: %+v", short)
		f.check(strings.Contains(short.body, outcomesPath+"a%2Fb%20c"), "the answer has no status path: %+v", short)
		running := sim.get("entry-2", org, outcomesPath+"a%2Fb%20c")
		f.check(strings.Contains(running.body, `"state":"running"`), "status while the call runs: %+v", running)
		sim.sleep(5 * time.Second)
		done := sim.get("entry-3", org, outcomesPath+"a%2Fb%20c")
		f.check(strings.Contains(done.body, `"state":"answered","ran":"yes","final":true`), "status after the call has run: %+v", done)
		other := sim.get("entry-3", "virtanen-kouvola", outcomesPath+"a%2Fb%20c")
		f.check(strings.Contains(other.body, `"state":"none"`), "status for another organisation: %+v", other)
		again := d.confirm("entry-2", "a/b c")
		f.check(again.status == http.StatusOK, "repeat: %+v", again.answer)
		used := sim.post("entry-2", org, confirmPath, `{"another":1}`, map[string]string{"Idempotency-Key": "a/b c"})
		f.check(used.status == http.StatusUnprocessableEntity, "the same key with other content: %+v", used)
		d.check()
	})
}

// While the store is down, the node that has an outcome cached returns it; the other
// nodes answer that the call may have run earlier.
func TestOutcomeDuringStoreOutage(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		d := &confirmationChecker{sim: sim}
		first := d.confirm("entry-1", "seat-1")
		sim.platform.Faults.Set(standin.FaultState{Stopped: true})
		repeat := d.confirm("entry-1", "seat-1")
		f.check(repeat.body == first.body, "first answer %+v, repeat %+v", first.answer, repeat.answer)
		other := d.confirm("entry-2", "seat-1")
		f.check(strings.Contains(other.body, `"earlier":"maybe"`), "repeat at another node: %+v", other.answer)
		d.check()
	})
}

// The store goes down while a confirmation runs. The caller gets the answer, and the
// outcome and the bill are stored when the store is back.
func TestOutcomeIsStoredAfterStoreOutage(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		d := &confirmationChecker{sim: sim}
		sim.setServices(time.Second, standin.FaultState{})
		done := make(chan confirmation, 1)
		go func() { done <- d.confirm("entry-1", "seat-1") }()
		sim.sleep(500 * time.Millisecond)
		sim.platform.Faults.Set(standin.FaultState{Stopped: true})
		first := <-done
		f.check(first.status == http.StatusOK, "first answer: %+v", first.answer)
		sim.sleep(10 * time.Minute)
		sim.platform.Faults.Set(standin.FaultState{})
		sim.sleep(time.Minute)
		sim.kill("entry-1")
		again := d.confirm("entry-2", "seat-1")
		f.check(again.body == first.body, "first answer %+v, repeat %+v", first.answer, again.answer)
		f.check(len(sim.storedBills()) == 1, "%d bills, want 1", len(sim.storedBills()))
		d.check()
	})
}

// A node restarts under the name of a crashed one and has none of its claims. It must
// not answer that a call was never sent.
func TestRestartedNodeDoesNotAnswerForEarlierClaims(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		d := &confirmationChecker{sim: sim}
		sim.setServices(time.Minute, standin.FaultState{})
		go d.confirm("entry-1", "seat-1")
		sim.sleep(time.Second)
		sim.kill("entry-1")
		sim.addNode("entry-1", embedded.Virtanen.DataCentres[0])
		sim.sleep(5 * time.Second)
		for _, id := range sim.nodeIDs() {
			again := d.confirm(id, "seat-1")
			f.check(strings.Contains(again.body, `"code":"may_have_run"`), "repeat at %s: %+v", id, again.answer)
		}
		sim.sleep(2 * time.Minute)
		d.check()
	})
}

// A claim whose node crashed before it sent the call remains; no node takes it over.
func TestClaimOfCrashedNodeIsNotTakenOver(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		d := &confirmationChecker{sim: sim}
		_, err := sim.platform.Commit(context.Background(), infra.Op{Key: ledger.ClaimKey(ledger.CallID{Organisation: org, Service: "kirjauspalvelu", Key: "seat-1"}), Value: []byte(`{"token":"t","node":"entry-9","process":"p","content":1}`)})
		f.check(err == nil, "write claim: %v", err)
		again := d.confirm("entry-1", "seat-1")
		f.check(again.status != http.StatusOK, "the claim was taken over: %+v", again.answer)
		state := sim.get("entry-2", org, outcomesPath+"seat-1")
		f.check(strings.Contains(state.body, `"state":"may_have_run","ran":"maybe","final":false`), "status: %+v", state)
		f.check(sim.serviceCalls()["seat-1"] == 0, "the call ran")
	})
}
