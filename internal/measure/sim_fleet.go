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

// simTarget is the one version that trials of load run.
var simTarget = config.Target{Model: "m", Version: "v1"}

// Delays between the nodes and backend servers of a trial.
const (
	nearDelay     = 300 * time.Microsecond
	farDelay      = 4 * time.Millisecond
	delaySpread   = time.Millisecond
	publishEvery  = 250 * time.Millisecond
	viewsKept     = 5
	sweepInterval = 100 * time.Millisecond
	retryAtOnce   = 100 * time.Millisecond
)

// size is the shape of a simulated deployment.
type size struct {
	name          string
	nodes         int
	replicas      int
	dataCentres   int
	organisations int
	engine        engineModel
	// peak is the normal day's demand as a share of capacity.
	peak float64
	span time.Duration
}

// policy is one way to decide.
type policy struct {
	name string
	// order and limit make the gate's parts; nil stands for the router's own.
	order func(ranks []admission.RankPolicy) admission.Order
	limit func(interval time.Duration, highest int) admission.Limit
	// reserve, preempts, floors and patience shape the gate.
	reserve  int
	headroom bool // kept on some replicas only
	preempts bool
	fair     bool
	modest   float64
	floors   [simRanks]float64
	patience [simRanks]time.Duration
	// naive never refuses before the deadline.
	naive bool
	// roundRobin chooses replicas in turn; choices bounds how many replicas a
	// choice looks at, 0 for all.
	roundRobin bool
	choices    int
	// direct sends work to the engines without an owner's queue.
	direct bool
	// suspects makes the record of requests that may crash engines; nil keeps
	// none.
	suspects func() *dispatch.Suspects
	// prefixes tells what the choice knows of prefix caches.
	prefixes prefixKnowledge
	// callers takes all organisations for callers of one, which are told to
	// the owners or not.
	callers callerKnowledge
	// counts tells whose use of the organisations the owners know.
	counts countKnowledge
}

// fleet is a simulated deployment under one policy.
type fleet struct {
	size
	policy  policy
	ev      *events
	rng     *rand.Rand
	traffic *traffic
	owners  []*simOwner
	views   [][]routing.Replica
	nodes   []*simNode
	stats   *stats
	turn    int
	// suspects remembers requests that may crash engines, on all nodes; nil
	// remembers none.
	suspects *dispatch.Suspects
	// used is what the whole fleet served, by organisation.
	used *admission.UsageCounter
	// nextReplica is where round robin goes on.
	nextReplica int
	// cut is the data centre that the others cannot reach; -1 is none.
	cut      int
	cutSince time.Time
}

// simOwner is a replica with its engine and its gate.
type simOwner struct {
	f       *fleet
	id      string
	index   int
	node    int
	dc      int
	engine  *simEngine
	gate    *admission.Gate
	waiting map[string]*simTry
	holding map[string]*simTry
	down    bool
	// frozen is until when the node that owns the replica stands still.
	frozen time.Time
}

// simNode is an entry node.
type simNode struct {
	dc     int
	recent *routing.RecentSends
	memory *routing.PrefixIndex
	told   *admission.RetryTimes
	used   *admission.UsageCounter
}

// simTry is one request for a place and the stream that follows.
type simTry struct {
	id      string
	req     *simRequest
	owner   *simOwner
	search  search
	stream  *simStream
	tokens  int
	granted time.Time
	first   time.Time
	last    time.Time
	over    bool
	// unanswered tells that the owner cannot answer.
	unanswered bool
}

func newFleet(s size, p policy, seed uint64) *fleet {
	f := &fleet{
		size: s, policy: p, ev: newEvents(), rng: rand.New(rand.NewPCG(seed, 3)),
		traffic: newTraffic(seed, s.nodes), stats: newStats(s), cut: -1, used: admission.NewUsageCounter(),
	}
	if p.suspects != nil {
		f.suspects = p.suspects()
	}
	for i := range s.nodes {
		f.nodes = append(f.nodes, &simNode{dc: i % s.dataCentres, recent: routing.NewRecentSends(), memory: routing.NewPrefixIndex(nodePrefixes), told: admission.NewRetryTimes(), used: admission.NewUsageCounter()})
	}
	for i := range s.replicas {
		f.owners = append(f.owners, f.newOwner(i))
	}
	f.publish()
	f.sweep()
	return f
}

func (f *fleet) newOwner(i int) *simOwner {
	dc := i % f.dataCentres
	return &simOwner{
		f: f, id: fmt.Sprintf("r%04d", i), index: i, dc: dc, engine: newSimEngine(f.ev, f.engine), gate: f.newGate(),
		node:    (dc + f.dataCentres*(i/f.dataCentres)) % f.size.nodes,
		waiting: map[string]*simTry{}, holding: map[string]*simTry{},
	}
}

func (f *fleet) newGate() *admission.Gate {
	ranks := make([]admission.RankPolicy, simRanks)
	for r := range ranks {
		ranks[r] = admission.RankPolicy{Floor: f.policy.floors[r], Preempts: f.policy.preempts && r < background, Patience: f.policy.patience[r]}
	}
	o := admission.GateOptions{
		Ranks: ranks, Slots: f.engine.slots, Memory: f.engine.memory, Interval: tokenInterval,
		Reserve: f.policy.reserve, FairPause: f.policy.fair, LowUseShare: f.policy.modest, Random: f.rng.Float64,
	}
	if f.policy.order != nil {
		o.Order = f.policy.order(ranks)
	}
	if f.policy.limit != nil {
		o.Limit = f.policy.limit(tokenInterval, f.engine.slots)
	}
	return admission.NewGate(o)
}

// delay draws the time of one message.
func (f *fleet) delay(a, b int) time.Duration {
	d := farDelay
	if a == b {
		d = nearDelay
	}
	return d + time.Duration(f.rng.ExpFloat64()*float64(delaySpread)/4)
}

// publish tells the nodes of the replicas, late.
func (f *fleet) publish() {
	view := make([]routing.Replica, 0, len(f.owners))
	for _, o := range f.owners {
		r := routing.Replica{ID: o.id, DataCentre: f.dcName(o.dc), Owner: fmt.Sprint(o.node), Targets: []config.Target{simTarget}, Usable: !o.down}
		if f.policy.direct {
			r.Running, r.Limit = len(o.engine.running)+len(o.engine.waiting), f.engine.slots
		} else {
			r.Running, r.Limit = o.gate.Running(), o.gate.Limit()
			for rank := range simRanks {
				r.Waits = append(r.Waits, o.gate.RankWait(rank))
			}
		}
		view = append(view, r)
	}
	if f.policy.headroom {
		f.keepRoom(view)
	}
	f.views = append(f.views, view)
	if len(f.views) > viewsKept {
		f.views = f.views[1:]
	}
	f.ev.after(publishEvery, f.publish)
}

// keepRoom tells the owners which replicas keep headroom.
func (f *fleet) keepRoom(view []routing.Replica) {
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

// sweep expires waits.
func (f *fleet) sweep() {
	for _, o := range f.owners {
		for _, w := range o.gate.Expire(f.ev.now) {
			t := o.waiting[w.ID]
			delete(o.waiting, w.ID)
			f.ev.after(f.delay(o.dc, f.nodes[t.req.home].dc), func() { f.refused(t, admission.MinRetryAfter) })
		}
	}
	f.ev.after(sweepInterval, f.sweep)
}

// add starts a source of requests.
func (f *fleet) add(s source) {
	var next func()
	next = func() {
		if f.ev.now.Sub(epoch) >= s.to || s.rate <= 0 {
			return
		}
		f.arrive(f.traffic.request(s))
		f.ev.after(time.Duration(f.traffic.rng.ExpFloat64()/s.rate*float64(time.Second)), next)
	}
	f.ev.after(s.from+time.Duration(f.traffic.rng.ExpFloat64()/max(s.rate, 1e-9)*float64(time.Second)), next)
}

// arrive takes a new request at its home node.
func (f *fleet) arrive(r *simRequest) {
	r.arrived = f.ev.now
	f.stats.arrived(r)
	f.begin(r)
}

// begin starts a try of the caller.
func (f *fleet) begin(r *simRequest) {
	r.tries++
	r.away = false
	f.stats.sent++
	r.asked = f.ev.now
	try := r.tries
	f.ev.after(kinds[r.rank].deadline, func() { f.expire(r, try) })
	if f.policy.direct {
		f.sendDirect(r)
		return
	}
	f.ask(r, search{})
}

// expire ends a request whose caller stops waiting.
func (f *fleet) expire(r *simRequest, try int) {
	if r.done || r.away || r.tries != try || f.ev.now.Sub(r.asked) < kinds[r.rank].deadline {
		return
	}
	r.late, r.done = true, true
	if t := r.try; t != nil {
		if t.owner.waiting[t.id] != nil {
			t.owner.gate.Withdraw(t.id)
			delete(t.owner.waiting, t.id)
		}
		f.end(t, false)
	}
	f.stats.finished(r, f.ev.now)
}

const (
	// waitTries bounds how many owners may refuse for the length of their
	// queues, placeTries how many are asked in all.
	waitTries  = 2
	placeTries = 4
	noReplica  = 2 * time.Second
)

func orgName(i int) string { return fmt.Sprintf("o%03d", i) }
