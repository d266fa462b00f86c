package fleet

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/gateway"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// faultsTogetherChecksEnv names the environment variable that sets how many sequences of
// faults TestFaultsTogether draws, and faultsTogetherSeedEnv the one that sets its seed.
const (
	faultsTogetherChecksEnv = "COWSLIPFALL_TOGETHER_CHECKS"
	faultsTogetherSeedEnv   = "COWSLIPFALL_TOGETHER_SEED"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "8")
	_ = flag.Set("rapid.shrinktime", "20s")
	if seed := os.Getenv(faultsTogetherSeedEnv); seed != "" {
		_ = flag.Set("rapid.seed", seed)
	}
	if n, err := strconv.Atoi(os.Getenv(faultsTogetherChecksEnv)); err == nil {
		_ = flag.Set("rapid.checks", strconv.Itoa(n))
	}
}

// event is one fault, or the end of one, and the pause after it.
type event struct {
	name   string
	choice int
	pause  time.Duration
}

// takeoverTime is the minimum time from one node crash to the next: until other nodes have
// taken over the crashed node's bills.
const takeoverTime = 12 * time.Second

var eventNames = []string{
	"kill node", "leave", "stop store", "slow store", "lose replies", "heal store", "cut", "join",
	"crash engine", "restart engines", "freeze engine", "slow service", "lose calls", "heal services", "stage", "withdraw",
}

// drawEvents draws four to ten events.
func drawEvents(t *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			name: rapid.SampledFrom(eventNames).Draw(t, "event"), choice: rapid.IntRange(0, 99).Draw(t, "pick"),
			pause: time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait_ms")) * time.Millisecond,
		}
	}), 4, 10).Draw(t, "events")
}

// faultTrial is a simulation under drawn faults, with what its callers observed.
type faultTrial struct {
	*simulation
	confirmations     *confirmationChecker
	billChecker       *billChecker
	mu                sync.Mutex
	versions          map[string]string // guarded by mu; by session
	isWithdrawing     bool              // guarded by mu; the withdrawal has begun
	withdrawalInForce bool              // guarded by mu
	isPartitioned     bool
	isStoreDown       bool
	recentlyKilled    bool
	nodeCount         int
	keyCount          int
	withdrawnAt       time.Time
	load              sync.WaitGroup
}

// applyEvent carries an event out. It skips events that would leave nothing to test, and
// double failures that the design does not cover.
func (trial *faultTrial) applyEvent(e event) {
	ids := trial.nodeIDs()
	id := ids[e.choice%len(ids)]
	switch e.name {
	case "kill node":
		if trial.recentlyKilled && (trial.isStoreDown || trial.isPartitioned) {
			return
		}
		trial.recentlyKilled = true
		trial.kill(id)
		trial.addReplacement()
		trial.sleep(takeoverTime)
	case "leave":
		trial.addReplacement()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		trial.failures.check(trial.simulation.nodes[id].node.Shutdown(ctx) == nil, "%s did not shut down gracefully", id)
		cancel()
		delete(trial.simulation.nodes, id)
	case "stop store":
		trial.isStoreDown = true
		trial.recentlyKilled = false
		trial.setStoreFaults(standin.FaultState{Stopped: true})
	case "slow store":
		trial.setStoreFaults(standin.FaultState{Delay: time.Duration(e.choice*10) * time.Millisecond, Stopped: trial.isStoreDown})
	case "lose replies":
		trial.setStoreFaults(standin.FaultState{LoseReplies: e.choice % 10, Stopped: trial.isStoreDown})
	case "heal store":
		trial.isStoreDown = false
		trial.setStoreFaults(standin.FaultState{})
	case "cut":
		trial.isPartitioned = true
		trial.recentlyKilled = false
		trial.net.setCut(ids[0], ids[1+e.choice%(len(ids)-1)], true)
	case "join":
		trial.isPartitioned = false
		trial.healCuts()
	case "stage", "withdraw":
		trial.reconfigure(e)
	default:
		trial.disturbBackends(e)
	}
}

// disturbBackends applies an event to the backend servers.
func (trial *faultTrial) disturbBackends(e event) {
	addresses := []string{}
	for address := range trial.dialer.engines {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	engine := trial.dialer.engines[addresses[e.choice%len(addresses)]]
	switch e.name {
	case "crash engine":
		if trial.crashedEngines() < len(addresses)-3 {
			engine.Crash()
		}
	case "restart engines":
		for _, engine := range trial.dialer.engines {
			engine.Faults.Set(standin.FaultState{})
			if engine.IsDown() {
				engine.Restart()
			}
		}
	case "freeze engine":
		engine.Faults.Set(standin.FaultState{Frozen: true})
	case "slow service":
		trial.setServiceFaults(standin.FaultState{Delay: time.Duration(e.choice*20) * time.Millisecond})
	case "lose calls":
		trial.setServiceFaults(standin.FaultState{LoseReplies: 1})
	case "heal services":
		trial.setServiceFaults(standin.FaultState{})
	}
}

// setServiceFaults sets the faults of all services.
func (trial *faultTrial) setServiceFaults(s standin.FaultState) {
	for _, service := range trial.dialer.services {
		service.Faults.Set(s)
	}
}

// reconfigure moves the roll-out or withdraws a version, and waits until that must be in
// force.
func (trial *faultTrial) reconfigure(e event) {
	if trial.isStoreDown {
		return
	}
	trial.setStoreFaults(standin.FaultState{})
	if e.name == "stage" {
		trial.setStage(e.choice % 4)
		return
	}
	if !trial.withdrawnAt.IsZero() {
		return
	}
	trial.mu.Lock()
	trial.isWithdrawing = true
	trial.mu.Unlock()
	rev := trial.simulation.applyRevision("withdraw", func(r *config.Revision) {
		r.Withdrawn = map[config.Target]config.Withdrawal{oldVersion: {}}
		r.Config.Models["kuski"].Default = "v2"
	})
	trial.sleep(10 * time.Second)
	for _, id := range trial.nodeIDs() {
		got := trial.simulation.nodes[id].node.Status().Revision
		trial.failures.check(got.Number >= rev.Number, "%s has revision %d 10 s after revision %d was accepted", id, got.Number, rev.Number)
	}
	trial.withdrawnAt = time.Now()
	trial.mu.Lock()
	trial.withdrawalInForce = true
	trial.mu.Unlock()
}

// addReplacement starts a node under a new name.
func (trial *faultTrial) addReplacement() {
	trial.nodeCount++
	trial.addNode(fmt.Sprintf("entry-%d", trial.nodeCount), trial.deployment.DataCentres[trial.nodeCount%3])
}

// healCuts reconnects all nodes.
func (trial *faultTrial) healCuts() {
	for i := range trial.nodeCount {
		for j := range i {
			trial.net.setCut(fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("entry-%d", j+1), false)
		}
	}
}

// sendLoad starts some chats, sessions and confirmations at each node.
func (trial *faultTrial) sendLoad() {
	for i, id := range trial.nodeIDs() {
		for range 2 {
			trial.load.Go(func() { trial.ask(id, "") })
		}
		trial.load.Go(func() { trial.ask(id, fmt.Sprintf("session-%d", i)) })
		trial.keyCount++
		key := fmt.Sprintf("seat-%d", trial.keyCount/2)
		trial.load.Go(func() { trial.confirm(id, key) })
	}
}

// confirm sends one confirmation and records it if it was served.
func (trial *faultTrial) confirm(id, key string) {
	c := trial.confirmations.confirm(id, key)
	if c.status == http.StatusOK {
		trial.billChecker.recordServed(c.header.Get(gateway.HeaderRequestID))
	}
}

// ask sends one chat and checks that its answer is complete and from the session's
// version.
func (trial *faultTrial) ask(id, session string) {
	text := fmt.Sprintf("question at %s of %s, %s", id, session, time.Now())
	trial.mu.Lock()
	isBeforeWithdrawal := !trial.withdrawalInForce
	trial.mu.Unlock()
	header := map[string]string{gateway.HeaderSession: session, gateway.HeaderDeadline: "20000"}
	a := trial.post(id, org, chatPath, chatBody(text, 40), header)
	if a.err != nil || a.status != http.StatusOK {
		return
	}
	trial.billChecker.recordServed(a.header.Get(gateway.HeaderRequestID))
	trial.failures.check(trial.isComplete(a, text, 40), "the answer at %s is incomplete: %+v", id, a)
	if session == "" {
		return
	}
	trial.mu.Lock()
	defer trial.mu.Unlock()
	got, old := a.header.Get(gateway.HeaderVersion), trial.versions[session]
	if isBeforeWithdrawal && trial.isWithdrawing && got == oldVersion.String() {
		return // sent before the withdrawal had to be in force
	}
	trial.failures.check(old == "" || got == old || old == oldVersion.String() && trial.isWithdrawing, "%s moved from %s to %s", session, old, got)
	trial.versions[session] = got
}

// settleAndCheck ends all faults and checks what callers, backend servers and the platform
// observed.
func (trial *faultTrial) settleAndCheck() {
	trial.isStoreDown = false
	trial.setStoreFaults(standin.FaultState{})
	trial.healCuts()
	trial.disturbBackends(event{name: "restart engines"})
	trial.setServiceFaults(standin.FaultState{})
	trial.load.Wait()
	trial.sleep(90 * time.Second)
	for i, id := range trial.nodeIDs() {
		trial.ask(id, "")
		c := trial.confirmations.confirm(id, fmt.Sprintf("last-%d", i))
		trial.failures.check(c.status == http.StatusOK, "confirmation at %s after the faults: %+v", id, c.answer)
		trial.billChecker.recordServed(c.header.Get(gateway.HeaderRequestID))
	}
	trial.sleep(30 * time.Second)
	trial.confirmations.check()
	trial.billChecker.check(len(trial.storedBills()))
	for _, e := range trial.dialer.engines {
		for _, run := range e.Runs() {
			isLate := !trial.withdrawnAt.IsZero() && run.Target == oldVersion && run.Arrived.After(trial.withdrawnAt)
			trial.failures.check(!isLate, "%s ran %s after it was withdrawn", run.Attempt, run.Target)
		}
	}
	rows := map[string]bool{}
	for _, id := range trial.storedBills() {
		trial.failures.check(!rows[id], "request %s has two bills", id)
		rows[id] = true
	}
}

// Faults of several kinds come at the same time and in sequence while all kinds of work are
// in progress. No call runs twice, no refusal that says "not run" is false, each served
// request is billed once, answers are complete, sessions keep their version, and a
// withdrawn version gets no work.
func TestFaultsTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)
		f := &failures{}
		synctest.Test(t, func(*testing.T) {
			trial := &faultTrial{versions: map[string]string{}, nodeCount: 4}
			trial.simulation = newSimulation(f, simulationOptions{nodes: 4, engines: 6, engine: standin.EngineOptions{BaseInterval: 20 * time.Millisecond}})
			defer trial.close()
			trial.configurePeers = true
			trial.confirmations, trial.billChecker = &confirmationChecker{sim: trial.simulation}, newBillChecker(trial.simulation)
			for _, e := range events {
				trial.sendLoad()
				trial.applyEvent(e)
				trial.sleep(e.pause)
			}
			trial.settleAndCheck()
		})
		if len(f.messages) > 0 {
			rt.Fatalf("%s\nafter %+v", strings.Join(f.messages, "\n"), events)
		}
	})
}
