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

// sessionTracker records the version of each session and how often it changed.
type sessionTracker struct {
	sim      *simulation
	requests int
	versions map[string]string
	moves    map[string]int
}

// newSessionTracker returns a tracker without sessions.
func newSessionTracker(sim *simulation) *sessionTracker {
	return &sessionTracker{sim: sim, versions: map[string]string{}, moves: map[string]int{}}
}

// ask sends one request of a session, records a change of its version, and returns the
// version.
func (s *sessionTracker) ask(node, session string) string {
	s.requests++
	a := s.sim.post(node, org, chatPath, chatBody(fmt.Sprintf("question %d", s.requests), 4), map[string]string{gateway.HeaderSession: session})
	s.sim.failures.check(a.status == http.StatusOK, "session %s at %s: %+v", session, node, a)
	got := a.header.Get(gateway.HeaderVersion)
	if old := s.versions[session]; old != "" && old != got {
		s.moves[session]++
	}
	s.versions[session] = got
	return got
}

// askAll sends a request of each recorded session to each node.
func (s *sessionTracker) askAll() {
	for session := range s.versions {
		for _, id := range s.sim.nodeIDs() {
			s.ask(id, session)
		}
	}
}

// open starts the sessions with numbers from from up to, but not including, to.
func (s *sessionTracker) open(from, to int) {
	for i := from; i < to; i++ {
		ids := s.sim.nodeIDs()
		s.ask(ids[i%len(ids)], fmt.Sprintf("session-%d", i))
	}
}

// setStage moves the example's roll-out to a stage.
func (sim *simulation) setStage(n int) {
	sim.applyRevision(fmt.Sprintf("stage %d", n), func(r *config.Revision) {
		r.Stages = map[string]config.RolloutState{"kuski-v2": {Stage: n, Since: time.Now()}}
	})
	sim.sleep(10 * time.Second)
}

// countOnVersion returns the number of sessions on a version.
func (s *sessionTracker) countOnVersion(t config.Target) int {
	n := 0
	for _, v := range s.versions {
		if v == t.String() {
			n++
		}
	}
	return n
}

// Sessions keep their version while a roll-out advances, while all nodes are replaced, and
// over a store outage in which new sessions begin and a node crashes.
func TestSessionsKeepTheirVersion(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		sim.configurePeers = true
		s := newSessionTracker(sim)
		s.open(0, 20)
		for stage := range 4 {
			sim.setStage(stage)
			s.open(20+10*stage, 30+10*stage)
			s.askAll()
		}
		f.check(s.countOnVersion(oldVersion) > 0 && s.countOnVersion(newVersion) > 0, "the sessions are not on both versions: %v", s.versions)
		for i, id := range sim.nodeIDs() {
			sim.kill(id)
			sim.addNode(fmt.Sprintf("entry-%d", i+4), sim.deployment.DataCentres[i%3])
			sim.sleep(10 * time.Second)
			s.askAll()
		}
		sim.setStoreFaults(standin.FaultState{Stopped: true})
		s.open(60, 80)
		s.askAll()
		sim.kill(sim.nodeIDs()[0])
		sim.sleep(10 * time.Second)
		s.askAll()
		sim.setStoreFaults(standin.FaultState{})
		sim.sleep(time.Minute)
		sim.setStage(0)
		sim.addNode("entry-9", sim.deployment.DataCentres[0])
		sim.sleep(10 * time.Second)
		s.askAll()
		f.check(len(s.moves) == 0, "sessions changed their version: %v", s.moves)
	})
}

// New sessions begin during a store outage while two nodes can't reach each other. Then
// all nodes are replaced and the roll-out steps back.
func TestSessionsStartedInOutageSurviveNodeReplacement(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		sim.configurePeers = true
		s := newSessionTracker(sim)
		sim.setStage(3)
		sim.setStoreFaults(standin.FaultState{Stopped: true})
		sim.net.setCut("entry-1", "entry-3", true)
		s.open(0, 30)
		s.askAll()
		sim.kill("entry-2")
		sim.sleep(10 * time.Second)
		s.askAll()
		sim.setStoreFaults(standin.FaultState{})
		sim.sleep(time.Minute)
		sim.setStage(0)
		for _, id := range sim.nodeIDs() {
			sim.kill(id)
			sim.addNode(id, sim.deployment.DataCentres[0])
			sim.sleep(10 * time.Second)
		}
		s.askAll()
		f.check(len(s.moves) == 0, "sessions changed their version: %v", s.moves)
		f.check(s.countOnVersion(newVersion) == 30, "%d of 30 sessions are on the new version", s.countOnVersion(newVersion))
	})
}

// A withdrawn version moves each of its sessions once, to the same version at all nodes,
// also if the preferred version changes while sessions move.
func TestWithdrawnVersionMovesSessionsOnce(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		s := newSessionTracker(sim)
		s.open(0, 20)
		s.askAll()
		sim.applyRevision("withdraw", func(r *config.Revision) {
			r.Withdrawn = map[config.Target]config.Withdrawal{oldVersion: {}}
			r.Config.Models["kuski"].Default = "v2"
		})
		sim.sleep(10 * time.Second)
		for i := range 10 {
			s.ask("entry-1", fmt.Sprintf("session-%d", i))
		}
		for _, id := range []string{"entry-1", "entry-3"} {
			sim.kill(id)
			sim.addNode(id, sim.deployment.DataCentres[0])
			sim.sleep(10 * time.Second)
		}
		sim.applyRevision("prefer another model", func(r *config.Revision) {
			r.Config.Models["emanta"].Versions["v3"].CostPerMillionTokens = 1
		})
		sim.sleep(10 * time.Second)
		for i := range 10 {
			s.ask("entry-2", fmt.Sprintf("session-%d", i))
		}
		s.askAll()
		f.check(s.countOnVersion(oldVersion) == 0, "sessions are still on the withdrawn version")
		f.check(s.countOnVersion(newVersion) == 10, "%d of 10 sessions kept the version that they moved to first", s.countOnVersion(newVersion))
		for session, n := range s.moves {
			f.check(n == 1, "session %s moved %d times", session, n)
		}
	})
}

// Each node crashes or shuts down just after new sessions have begun, before their pins
// are stored, and the roll-out moves to another stage. The sessions keep their version.
func TestNewSessionsSurviveLossOfTheirHomeNodes(t *testing.T) {
	for _, isGraceful := range []bool{false, true} {
		withVirtualClock(t, func(f *failures) {
			sim := newSimulation(f, simulationOptions{})
			defer sim.close()
			sim.configurePeers = true
			sim.sleep(time.Minute)
			s := newSessionTracker(sim)
			for i, id := range sim.nodeIDs() {
				s.open(20*i, 20*i+20)
				if isGraceful {
					sim.addNode(fmt.Sprintf("entry-%d", i+4), sim.deployment.DataCentres[i%3])
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					f.check(sim.nodes[id].node.Shutdown(ctx) == nil, "%s did not shut down gracefully", id)
					cancel()
					delete(sim.nodes, id)
				} else {
					sim.kill(id)
					sim.addNode(fmt.Sprintf("entry-%d", i+4), sim.deployment.DataCentres[i%3])
				}
				sim.sleep(takeoverTime)
				sim.setStage(3 - i)
				s.askAll()
			}
			f.check(len(s.moves) == 0, "sessions changed their version (graceful shutdown %v): %v", isGraceful, s.moves)
		})
	}
}
