package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// simTarget is the only version in the load trials.
var simTarget = config.Target{Model: "m", Version: "v1"}

// Network delays and intervals of a trial.
const (
	localDelay          = 300 * time.Microsecond
	remoteDelay         = 4 * time.Millisecond
	delayJitter         = time.Millisecond
	publishInterval     = 250 * time.Millisecond
	maxViews            = 5
	sweepInterval       = 100 * time.Millisecond
	immediateRetryDelay = 100 * time.Millisecond
)

// size describes a simulated deployment.
type size struct {
	name          string
	nodes         int
	replicas      int
	dataCentres   int
	organisations int
	engine        engineModel
	// peakLoad is the demand of a normal day as a share of capacity; from 1 on,
	// designRate applies.
	peakLoad float64
	duration time.Duration
}

// policy is a combination of decisions to simulate.
type policy struct {
	name string
	// newOrder and newLimit create parts of the gate; nil selects the router's
	// own.
	newOrder func(ranks []admission.RankPolicy) admission.Order
	newLimit func(interval time.Duration, highest int) admission.Limit
	// The fields from reserve to patience are settings of the gate, by rank for
	// floors and patience.
	reserve        int
	sharedHeadroom bool // headroom on some replicas only
	preempts       bool
	fairPauses     bool
	lowUseShare    float64
	floors         [rankCount]float64
	patience       [rankCount]time.Duration
	// waitsUntilDeadline disables refusals before the deadline.
	waitsUntilDeadline bool
	// roundRobinReplicas chooses replicas in turn; maxChoices bounds the
	// replicas that a choice compares, 0 for all.
	roundRobinReplicas bool
	maxChoices         int
	// bypassesOwners sends work to the engines without an owner's queue.
	bypassesOwners bool
	// newSuspects creates the record of requests that may crash engines; nil
	// keeps none.
	newSuspects func() *dispatch.Suspects
	// prefixKnowledge selects what the choice of a replica learns of prefix
	// caches.
	prefixKnowledge prefixKnowledge
	// callerKnowledge selects whether organisations stand for callers of one
	// organisation, and whether their names are reported to the owners.
	callerKnowledge callerKnowledge
	// usageKnowledge selects what owners learn of the usage of organisations.
	usageKnowledge usageKnowledge
}

// fleet is a simulated deployment under one policy.
type fleet struct {
	size
	policy       policy
	ev           *events
	rng          *rand.Rand
	traffic      *traffic
	owners       []*simOwner
	views        [][]routing.Replica
	nodes        []*simNode
	stats        *stats
	attemptCount int
	// suspects records requests that may crash engines, for all nodes; nil
	// keeps no record.
	suspects *dispatch.Suspects
	// usage counts what the whole fleet served, by organisation.
	usage *admission.UsageCounter
	// nextReplica is the position of round robin.
	nextReplica int
	// isolatedDC is the data centre that the others cannot reach; -1 is none.
	isolatedDC    int
	isolatedSince time.Time
}

// simOwner is a replica with its engine and its owner's gate.
type simOwner struct {
	fleet   *fleet
	id      string
	index   int
	node    int
	dc      int
	engine  *simEngine
	gate    *admission.Gate
	waiting map[string]*simAttempt
	granted map[string]*simAttempt
	isDown  bool
	// frozenUntil is when the frozen owner is replaced.
	frozenUntil time.Time
}

// simNode is an entry node.
type simNode struct {
	dc           int
	recentSends  *routing.RecentSends
	sentPrefixes *routing.PrefixIndex
	retryTimes   *admission.RetryTimes
	usage        *admission.UsageCounter
}

// simAttempt is one slot request and the stream that follows its grant.
type simAttempt struct {
	id         string
	request    *simRequest
	owner      *simOwner
	search     slotSearch
	stream     *simStream
	tokens     int
	granted    time.Time
	firstToken time.Time
	lastToken  time.Time
	isEnded    bool
	// isUnanswered is true if the owner cannot answer.
	isUnanswered bool
}

func newFleet(s size, p policy, seed uint64) *fleet {
	f := &fleet{
		size: s, policy: p, ev: newEvents(), rng: rand.New(rand.NewPCG(seed, 3)),
		traffic: newTraffic(seed, s.nodes), stats: newStats(s), isolatedDC: -1, usage: admission.NewUsageCounter(),
	}
	if p.newSuspects != nil {
		f.suspects = p.newSuspects()
	}
	for i := range s.nodes {
		f.nodes = append(f.nodes, &simNode{dc: i % s.dataCentres, recentSends: routing.NewRecentSends(), sentPrefixes: routing.NewPrefixIndex(maxNodePrefixBlocks), retryTimes: admission.NewRetryTimes(), usage: admission.NewUsageCounter()})
	}
	for i := range s.replicas {
		f.owners = append(f.owners, f.newOwner(i))
	}
	f.publishView()
	f.expireWaits()
	return f
}

func (f *fleet) newOwner(i int) *simOwner {
	dc := i % f.dataCentres
	return &simOwner{
		fleet: f, id: fmt.Sprintf("r%04d", i), index: i, dc: dc, engine: newSimEngine(f.ev, f.engine), gate: f.newGate(),
		node:    (dc + f.dataCentres*(i/f.dataCentres)) % f.size.nodes,
		waiting: map[string]*simAttempt{}, granted: map[string]*simAttempt{},
	}
}

func (f *fleet) newGate() *admission.Gate {
	ranks := make([]admission.RankPolicy, rankCount)
	for r := range ranks {
		ranks[r] = admission.RankPolicy{Floor: f.policy.floors[r], Preempts: f.policy.preempts && r < background, Patience: f.policy.patience[r]}
	}
	o := admission.GateOptions{
		Ranks: ranks, Slots: f.engine.slots, Memory: f.engine.memory, Interval: tokenInterval,
		Reserve: f.policy.reserve, FairPause: f.policy.fairPauses, LowUseShare: f.policy.lowUseShare, Random: f.rng.Float64,
	}
	if f.policy.newOrder != nil {
		o.Order = f.policy.newOrder(ranks)
	}
	if f.policy.newLimit != nil {
		o.Limit = f.policy.newLimit(tokenInterval, f.engine.slots)
	}
	return admission.NewGate(o)
}

// delay returns a random network delay of one message between two data centres.
func (f *fleet) delay(a, b int) time.Duration {
	d := remoteDelay
	if a == b {
		d = localDelay
	}
	return d + time.Duration(f.rng.ExpFloat64()*float64(delayJitter)/4)
}

// publishView publishes the replica states; nodes see them late.
func (f *fleet) publishView() {
	view := make([]routing.Replica, 0, len(f.owners))
	for _, o := range f.owners {
		r := routing.Replica{ID: o.id, DataCentre: f.dcName(o.dc), Owner: fmt.Sprint(o.node), Targets: []config.Target{simTarget}, Usable: !o.isDown}
		if f.policy.bypassesOwners {
			r.Running, r.Limit = len(o.engine.running)+len(o.engine.waiting), f.engine.slots
		} else {
			r.Running, r.Limit = o.gate.Running(), o.gate.Limit()
			for rank := range rankCount {
				r.Waits = append(r.Waits, o.gate.RankWait(f.ev.now, rank))
			}
		}
		view = append(view, r)
	}
	if f.policy.sharedHeadroom {
		f.assignHeadroom(view)
	}
	f.views = append(f.views, view)
	if len(f.views) > maxViews {
		f.views = f.views[1:]
	}
	f.ev.after(publishInterval, f.publishView)
}

// assignHeadroom chooses the replicas that keep headroom and sets it at their
// owners.
func (f *fleet) assignHeadroom(view []routing.Replica) {
	routing.AssignHeadroom(view)
	for i, o := range f.owners {
		o.gate.SetHeadroom(view[i].Headroom)
	}
}

func (f *fleet) dcName(dc int) string { return dcNames[dc] }

var dcNames = func() []string {
	out := make([]string, 16)
	for i := range out {
		out[i] = fmt.Sprintf("dc-%d", i)
	}
	return out
}()

// expireWaits refuses queued work whose deadline has passed.
func (f *fleet) expireWaits() {
	for _, o := range f.owners {
		for _, w := range o.gate.Expire(f.ev.now) {
			t := o.waiting[w.ID]
			delete(o.waiting, w.ID)
			f.ev.after(f.delay(o.dc, f.nodes[t.request.entryNode].dc), func() { f.refuseUnstarted(t, admission.MinRetryAfter) })
		}
	}
	f.ev.after(sweepInterval, f.expireWaits)
}

// startSource starts a Poisson source of requests.
func (f *fleet) startSource(s source) {
	var next func()
	next = func() {
		if f.ev.now.Sub(epoch) >= s.end || s.rate <= 0 {
			return
		}
		f.arrive(f.traffic.newRequest(s))
		f.ev.after(time.Duration(f.traffic.rng.ExpFloat64()/s.rate*float64(time.Second)), next)
	}
	f.ev.after(s.start+time.Duration(f.traffic.rng.ExpFloat64()/max(s.rate, 1e-9)*float64(time.Second)), next)
}

// arrive records a new request and starts its first try.
func (f *fleet) arrive(r *simRequest) {
	r.arrived = f.ev.now
	f.stats.recordArrival(r)
	f.startTry(r)
}

// startTry starts a try of the caller.
func (f *fleet) startTry(r *simRequest) {
	r.callerTries++
	r.isAway = false
	f.stats.callerTries++
	r.tryStarted = f.ev.now
	try := r.callerTries
	f.ev.after(rankWorkloads[r.rank].deadline, func() { f.expireTry(r, try) })
	if f.policy.bypassesOwners {
		f.sendDirect(r)
		return
	}
	f.requestSlot(r, slotSearch{})
}

// expireTry ends a request whose caller stops waiting.
func (f *fleet) expireTry(r *simRequest, try int) {
	if r.isDone || r.isAway || r.callerTries != try || f.ev.now.Sub(r.tryStarted) < rankWorkloads[r.rank].deadline {
		return
	}
	r.isLate, r.isDone = true, true
	if t := r.attempt; t != nil {
		if t.owner.waiting[t.id] != nil {
			t.owner.gate.Withdraw(t.id)
			delete(t.owner.waiting, t.id)
		}
		f.endAttempt(t, false)
	}
	f.stats.recordEnd(r, f.ev.now)
}

const (
	// maxQueueRefusals bounds how many owners may refuse for the length of
	// their queues. No further owner is asked once more than maxTriedOwners have
	// been tried.
	maxQueueRefusals    = 2
	maxTriedOwners      = 4
	noReplicaRetryAfter = 2 * time.Second
)

func orgName(i int) string { return fmt.Sprintf("o%03d", i) }
