package fleet

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/gateway"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

var (
	oldVersion = config.Target{Model: "kuski", Version: "v1"}
	newVersion = config.Target{Model: "kuski", Version: "v2"}
)

// sessions follows which version each session was on.
type sessions struct {
	w     *world
	asked int
	on    map[string]string
	moves map[string]int
}

func newSessions(w *world) *sessions {
	return &sessions{w: w, on: map[string]string{}, moves: map[string]int{}}
}

// ask sends one request of a session and notes a change of its version.
func (s *sessions) ask(node, session string) string {
	s.asked++
	a := s.w.post(node, org, chatPath, chatBody(fmt.Sprintf("question %d", s.asked), 4), map[string]string{gateway.HeaderSession: session})
	s.w.faults.check(a.status == http.StatusOK, "session %s at %s: %+v", session, node, a)
	got := a.header.Get(gateway.HeaderVersion)
	if old := s.on[session]; old != "" && old != got {
		s.moves[session]++
	}
	s.on[session] = got
	return got
}

// askAll asks for every known session at every node.
func (s *sessions) askAll() {
	for session := range s.on {
		for _, id := range s.w.ids() {
			s.ask(id, session)
		}
	}
}

func (s *sessions) open(from, to int) {
	for i := from; i < to; i++ {
		ids := s.w.ids()
		s.ask(ids[i%len(ids)], fmt.Sprintf("session-%d", i))
	}
}

// stage moves the example's roll-out to a stage.
func (w *world) stage(n int) {
	w.apply(fmt.Sprintf("stage %d", n), func(r *config.Revision) {
		r.Stages = map[string]config.RolloutState{"kuski-v2": {Stage: n, Since: time.Now()}}
	})
	w.sleep(10 * time.Second)
}

// onVersion counts the sessions on a version.
func (s *sessions) onVersion(t config.Target) int {
	n := 0
	for _, v := range s.on {
		if v == t.String() {
			n++
		}
	}
	return n
}

// Sessions keep their version while a roll-out goes on, while every node is
// replaced, and over a store outage in which new sessions begin and nodes
// die.
func TestSessionsKeepTheirVersion(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		w.peers = true
		s := newSessions(w)
		s.open(0, 20)
		for stage := range 4 {
			w.stage(stage)
			s.open(20+10*stage, 30+10*stage)
			s.askAll()
		}
		f.check(s.onVersion(oldVersion) > 0 && s.onVersion(newVersion) > 0, "the roll-out had no effect: %v", s.on)
		for i, id := range w.ids() {
			w.kill(id)
			w.addNode(fmt.Sprintf("entry-%d", i+4), w.shape.DataCentres[i%3])
			w.sleep(10 * time.Second)
			s.askAll()
		}
		w.setStore(standin.FaultState{Stopped: true})
		s.open(60, 80)
		s.askAll()
		w.kill(w.ids()[0])
		w.sleep(10 * time.Second)
		s.askAll()
		w.setStore(standin.FaultState{})
		w.sleep(time.Minute)
		w.stage(0)
		w.addNode("entry-9", w.shape.DataCentres[0])
		w.sleep(10 * time.Second)
		s.askAll()
		f.check(len(s.moves) == 0, "sessions changed their version: %v", s.moves)
	})
}

// New sessions begin during a store outage while two nodes do not reach each
// other; then every node is replaced, and the roll-out steps back.
func TestSessionsOfAnOutageOutliveTheNodes(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		w.peers = true
		s := newSessions(w)
		w.stage(3)
		w.setStore(standin.FaultState{Stopped: true})
		w.net.cut("entry-1", "entry-3", true)
		s.open(0, 30)
		s.askAll()
		w.kill("entry-2")
		w.sleep(10 * time.Second)
		s.askAll()
		w.setStore(standin.FaultState{})
		w.sleep(time.Minute)
		w.stage(0)
		for _, id := range w.ids() {
			w.kill(id)
			w.addNode(id, w.shape.DataCentres[0])
			w.sleep(10 * time.Second)
		}
		s.askAll()
		f.check(len(s.moves) == 0, "sessions changed their version: %v", s.moves)
		f.check(s.onVersion(newVersion) == 30, "%d of 30 sessions are on the new version", s.onVersion(newVersion))
	})
}

// A withdrawn version moves each of its sessions once, to the same version at
// every node, also while what is preferred changes under way.
func TestWithdrawnVersionMovesSessionsOnce(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		s := newSessions(w)
		s.open(0, 20)
		s.askAll()
		w.apply("withdraw", func(r *config.Revision) {
			r.Withdrawn = map[config.Target]config.Withdrawal{oldVersion: {}}
			r.Config.Models["kuski"].Default = "v2"
		})
		w.sleep(10 * time.Second)
		for i := range 10 {
			s.ask("entry-1", fmt.Sprintf("session-%d", i))
		}
		for _, id := range []string{"entry-1", "entry-3"} {
			w.kill(id)
			w.addNode(id, w.shape.DataCentres[0])
			w.sleep(10 * time.Second)
		}
		w.apply("prefer another model", func(r *config.Revision) {
			r.Config.Models["emanta"].Versions["v3"].CostPerMillionTokens = 1
		})
		w.sleep(10 * time.Second)
		for i := range 10 {
			s.ask("entry-2", fmt.Sprintf("session-%d", i))
		}
		s.askAll()
		f.check(s.onVersion(oldVersion) == 0, "sessions are still on the withdrawn version")
		f.check(s.onVersion(newVersion) == 10, "%d of 10 sessions stayed where they were moved first", s.onVersion(newVersion))
		for session, n := range s.moves {
			f.check(n == 1, "session %s moved %d times", session, n)
		}
	})
}

// Each node dies, or leaves, just after new sessions have begun, before their
// pins are stored, and the roll-out steps on: the sessions keep their version.
func TestNewSessionsOutliveTheirHomes(t *testing.T) {
	for _, leave := range []bool{false, true} {
		virtual(t, func(f *faults) {
			w := newWorld(f, worldOptions{})
			defer w.close()
			w.peers = true
			w.sleep(time.Minute)
			s := newSessions(w)
			for i, id := range w.ids() {
				s.open(20*i, 20*i+20)
				if leave {
					w.addNode(fmt.Sprintf("entry-%d", i+4), w.shape.DataCentres[i%3])
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					f.check(w.nodes[id].node.Shutdown(ctx) == nil, "%s did not leave gracefully", id)
					cancel()
					delete(w.nodes, id)
				} else {
					w.kill(id)
					w.addNode(fmt.Sprintf("entry-%d", i+4), w.shape.DataCentres[i%3])
				}
				w.sleep(faultSettle)
				w.stage(3 - i)
				s.askAll()
			}
			f.check(len(s.moves) == 0, "sessions changed their version (leave %v): %v", leave, s.moves)
		})
	}
}
