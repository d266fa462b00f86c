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

// confirmation is one try of a call that may run at most once, and how often
// the services had run its key when it began and when it was answered.
type confirmation struct {
	key, node     string
	before, after int
	from, to      time.Time
	answer
}

// desk sends confirmations and keeps what came back. It is safe for
// concurrent use.
type desk struct {
	w     *world
	mu    sync.Mutex
	tries []confirmation // guarded by mu
}

// confirm sends one try and returns it.
func (d *desk) confirm(node, key string) confirmation {
	c := confirmation{key: key, node: node, before: d.w.calls()[key], from: time.Now()}
	c.answer = d.w.post(node, org, confirmPath, `{}`, map[string]string{"Idempotency-Key": key})
	c.after = d.w.calls()[key]
	c.to = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tries = append(d.tries, c)
	return c
}

// check compares all answers with the services' own count of calls.
func (d *desk) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.w.faults
	for key, n := range d.w.calls() {
		f.check(n <= 1, "key %s ran %d times", key, n)
	}
	bodies := map[string]string{}
	for _, c := range d.tries {
		notRun := strings.Contains(c.body, `"ran":"no"`)
		switch {
		case c.status == http.StatusOK:
			f.check(c.after == 1, "key %s was answered by %s and ran %d times", c.key, c.node, c.after)
			f.check(bodies[c.key] == "" || bodies[c.key] == c.body, "key %s got %q and %q", c.key, bodies[c.key], c.body)
			bodies[c.key] = c.body
		case notRun && strings.Contains(c.body, `"earlier":"maybe"`):
			f.check(c.after == c.before || d.overlaps(c), "%s refused key %s with %s, and it ran meanwhile", c.node, c.key, c.body)
		case notRun:
			// Another try at the same time may run after this one was decided.
			f.check(c.after == 0 || c.before == 0 && d.overlaps(c), "%s refused key %s with %s, and it ran", c.node, c.key, c.body)
		}
	}
}

// overlaps tells whether another try of the same key was under way. The
// caller holds mu.
func (d *desk) overlaps(c confirmation) bool {
	n := 0
	for _, other := range d.tries {
		if other.key == c.key && !other.from.After(c.to) && !other.to.Before(c.from) {
			n++
		}
	}
	return n > 1
}

// get asks a node as a caller of an organisation.
func (w *world) get(id, organisation, path string) answer {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return w.net.dial("caller")(ctx, id+":callers")
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

// setServices changes all services at once.
func (w *world) setServices(work time.Duration, state standin.FaultState) {
	for _, s := range w.dialer.services {
		s.WorkTime = work
		s.Faults.Set(state)
	}
}

// A caller sends one confirmation to every node at once, twice to each, and
// again later; the store is quick, then slow.
func TestConfirmationSentEverywhereAtOnce(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		d := &desk{w: w}
		w.setServices(2*time.Second, standin.FaultState{})
		for round := range 6 {
			w.platform.Faults.Set(standin.FaultState{Delay: time.Duration(round%2) * 100 * time.Millisecond})
			key := fmt.Sprintf("seat-%d", round)
			var wg sync.WaitGroup
			for _, id := range w.ids() {
				for range 2 {
					wg.Go(func() { d.confirm(id, key) })
				}
			}
			wg.Wait()
			f.check(w.calls()[key] == 1, "%s ran %d times", key, w.calls()[key])
			for _, id := range w.ids() {
				later := d.confirm(id, key)
				f.check(later.status == http.StatusOK, "later at %s: %+v", id, later.answer)
			}
		}
		d.check()
		f.check(len(w.bills()) == 6, "%d bills for 6 confirmations", len(w.bills()))
	})
}

// Each write of a confirmation loses its reply in turn; the store is slow in
// turn.
func TestConfirmationLosesReplies(t *testing.T) {
	for _, slow := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond} {
		virtual(t, func(f *faults) {
			w := newWorld(f, worldOptions{})
			defer w.close()
			d := &desk{w: w}
			for lost := range 4 {
				key := fmt.Sprintf("seat-%d", lost)
				w.platform.Faults.Set(standin.FaultState{LoseReplies: lost, Delay: slow})
				first := d.confirm("entry-1", key)
				d.confirm("entry-2", key)
				w.platform.Faults.Set(standin.FaultState{})
				w.sleep(10 * time.Second)
				again := d.confirm("entry-2", key)
				f.check(again.status == http.StatusOK, "%d replies lost: first %+v, again %+v", lost, first.answer, again.answer)
			}
			w.sleep(10 * time.Second)
			d.check()
			f.check(len(w.bills()) == 4, "%d bills for 4 confirmations", len(w.bills()))
		})
	}
}

// The node that holds a confirmation is killed at every stage of it; another
// node gets the same confirmation at once and later.
func TestConfirmationOutlivesItsNode(t *testing.T) {
	const work = 400 * time.Millisecond
	for _, at := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, time.Second} {
		virtual(t, func(f *faults) {
			w := newWorld(f, worldOptions{})
			defer w.close()
			d := &desk{w: w}
			w.setServices(work, standin.FaultState{})
			w.platform.Faults.Set(standin.FaultState{Delay: 100 * time.Millisecond})
			done := make(chan confirmation, 1)
			go func() { done <- d.confirm("entry-1", "seat-1") }()
			w.sleep(at)
			w.kill("entry-1")
			first := <-done
			d.confirm("entry-2", "seat-1")
			w.sleep(20 * time.Second)
			later := d.confirm("entry-3", "seat-1")
			f.check(later.status == http.StatusOK || strings.Contains(later.body, `"code":"may_have_run"`), "killed at %s: first %+v, later %+v", at, first.answer, later.answer)
			d.check()
		})
	}
}

// A service that takes a call and loses its reply, or is gone before the
// call.
func TestConfirmationAtFailingService(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{services: 1})
		defer w.close()
		d := &desk{w: w}
		w.setServices(0, standin.FaultState{LoseReplies: 1})
		lost := d.confirm("entry-1", "lost")
		f.check(strings.Contains(lost.body, `"ran":"maybe"`), "lost reply: %+v", lost.answer)
		for _, id := range w.ids() {
			again := d.confirm(id, "lost")
			f.check(strings.Contains(again.body, `"code":"may_have_run"`), "again at %s: %+v", id, again.answer)
		}
		w.setServices(0, standin.FaultState{Stopped: true})
		gone := d.confirm("entry-1", "gone")
		f.check(strings.Contains(gone.body, `"ran":"no"`), "service gone: %+v", gone.answer)
		w.setServices(0, standin.FaultState{})
		w.sleep(5 * time.Second)
		again := d.confirm("entry-2", "gone")
		f.check(again.status == http.StatusOK, "service back: %+v", again.answer)
		d.check()
	})
}

// A caller that goes away does not keep the outcome from being learned; only
// its own organisation can read it.
func TestOutcomeIsLearnedWithoutTheCaller(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		d := &desk{w: w}
		w.setServices(3*time.Second, standin.FaultState{})
		short := w.post("entry-1", org, confirmPath, `{}`, map[string]string{"Idempotency-Key": "a/b c", "X-Deadline-Ms": "1000"})
		f.check(strings.Contains(short.body, `"ran":"maybe"`), "deadline: %+v", short)
		f.check(strings.Contains(short.body, outcomesPath+"a%2Fb%20c"), "no status path: %+v", short)
		running := w.get("entry-2", org, outcomesPath+"a%2Fb%20c")
		f.check(strings.Contains(running.body, `"state":"running"`), "while it runs: %+v", running)
		w.sleep(5 * time.Second)
		done := w.get("entry-3", org, outcomesPath+"a%2Fb%20c")
		f.check(strings.Contains(done.body, `"state":"answered","ran":"yes","final":true`), "when it has run: %+v", done)
		other := w.get("entry-3", "virtanen-kouvola", outcomesPath+"a%2Fb%20c")
		f.check(strings.Contains(other.body, `"state":"none"`), "another organisation: %+v", other)
		again := d.confirm("entry-2", "a/b c")
		f.check(again.status == http.StatusOK, "again: %+v", again.answer)
		used := w.post("entry-2", org, confirmPath, `{"another":1}`, map[string]string{"Idempotency-Key": "a/b c"})
		f.check(used.status == http.StatusUnprocessableEntity, "the key for another call: %+v", used)
		d.check()
	})
}

// While the store is away the node that knows an outcome tells it; the others
// say that they do not know.
func TestOutcomeDuringStoreOutage(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		d := &desk{w: w}
		first := d.confirm("entry-1", "seat-1")
		w.platform.Faults.Set(standin.FaultState{Stopped: true})
		repeat := d.confirm("entry-1", "seat-1")
		f.check(repeat.body == first.body, "first %+v, repeat %+v", first.answer, repeat.answer)
		other := d.confirm("entry-2", "seat-1")
		f.check(strings.Contains(other.body, `"earlier":"maybe"`), "another node: %+v", other.answer)
		d.check()
	})
}

// The store goes away while a confirmation runs: its caller gets the answer,
// and the outcome and bill are stored when the store is back.
func TestOutcomeIsStoredAfterOutage(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		d := &desk{w: w}
		w.setServices(time.Second, standin.FaultState{})
		done := make(chan confirmation, 1)
		go func() { done <- d.confirm("entry-1", "seat-1") }()
		w.sleep(500 * time.Millisecond)
		w.platform.Faults.Set(standin.FaultState{Stopped: true})
		first := <-done
		f.check(first.status == http.StatusOK, "first: %+v", first.answer)
		w.sleep(10 * time.Minute)
		w.platform.Faults.Set(standin.FaultState{})
		w.sleep(time.Minute)
		w.kill("entry-1")
		again := d.confirm("entry-2", "seat-1")
		f.check(again.body == first.body, "first %+v, again %+v", first.answer, again.answer)
		f.check(len(w.bills()) == 1, "%d bills", len(w.bills()))
		d.check()
	})
}

// A process that comes back under the name of a dead one knows nothing of its
// claims: it must not say that a call was never sent.
func TestNewProcessDoesNotSpeakForTheOld(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		d := &desk{w: w}
		w.setServices(time.Minute, standin.FaultState{})
		go d.confirm("entry-1", "seat-1")
		w.sleep(time.Second)
		w.kill("entry-1")
		w.addNode("entry-1", embedded.Virtanen.DataCentres[0])
		w.sleep(5 * time.Second)
		for _, id := range w.ids() {
			again := d.confirm(id, "seat-1")
			f.check(strings.Contains(again.body, `"code":"may_have_run"`), "again at %s: %+v", id, again.answer)
		}
		w.sleep(2 * time.Minute)
		d.check()
	})
}

// A claim whose node died before the send stays; nobody takes it over.
func TestClaimOfDeadNodeIsNotTakenOver(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		d := &desk{w: w}
		_, err := w.platform.Commit(context.Background(), infra.Op{Key: ledger.ClaimKey(ledger.CallID{Organisation: org, Service: "kirjauspalvelu", Key: "seat-1"}), Value: []byte(`{"token":"t","node":"entry-9","process":"p","content":1}`)})
		f.check(err == nil, "write claim: %v", err)
		again := d.confirm("entry-1", "seat-1")
		f.check(again.status != http.StatusOK, "the claim was taken over: %+v", again.answer)
		state := w.get("entry-2", org, outcomesPath+"seat-1")
		f.check(strings.Contains(state.body, `"state":"may_have_run","ran":"maybe","final":false`), "status: %+v", state)
		f.check(w.calls()["seat-1"] == 0, "it ran")
	})
}
