package measure

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Times in the trial of prompt parts that crash backend servers.
const (
	partsWarmUp       = 2 * time.Second
	partsLateAfter    = 3 * time.Second
	partsCrashSeen    = 55 * time.Millisecond
	partsSurvivalAge  = 500 * time.Millisecond // past the first token
	partsMeanAnswer   = 3 * time.Second
	partsMaxSkew      = 3 * time.Second
	partsRetryDelay   = 500 * time.Millisecond
	partsMaxWait      = 10 * time.Second
	partsMaxTrialWait = 2 * time.Second
	partsMaxAttempts  = 3
	partsSubjects     = 1000
	partsSubjectSkew  = 1.1
	partsLostMessages = 0.02
	crashingPrefix    = "crashing"
)

// partsSize is the size of a fleet in the trial.
type partsSize struct {
	nodes, servers int
	rate           float64 // requests per second
}

// partsWay is a way to find the part that crashes servers.
type partsWay struct {
	name string
	rule dispatch.PartRule
	// wholeRequests means that only whole requests are known, of which no two
	// are alike.
	wholeRequests bool
	// blamesAll quarantines all parts of a request that crashed a server.
	blamesAll bool
	// cancels means that requests that have not begun are cancelled when one of
	// their parts is quarantined.
	cancels bool
	// tries means that a node sends requests with a suspected part one after the other.
	tries bool
}

type partsRequest struct {
	id       uint64
	parts    []dispatch.Part
	crashing int // index of the crashing part, -1 if there is none
	attempts int
	arrived  time.Time
	tried    []*partsServer
	// trialSince is when the request began to wait for its trial, zero if it does not.
	trialSince time.Time
}

type partsAttempt struct {
	request                      *partsRequest
	node                         *partsNode
	server                       *partsServer
	hasBegun, hasSurvived, isEnd bool
	endTrial                     func()
}

type partsServer struct {
	id      string
	isDown  bool
	running []*partsAttempt
}

type partsNode struct {
	suspects *dispatch.Suspects
	trials   *dispatch.Trials
	skew     time.Duration
	isDead   bool
	cutUntil time.Time
	active   []*partsAttempt
	// records are all records, as of the last exchange.
	records []wire.Suspect
}

// partsTrial is one run of the trial.
type partsTrial struct {
	partsSize
	way      partsWay
	share    float64
	crashing int
	// backAfter is how long a server is down that a part has crashed. 0 means 3 to 6 s.
	backAfter time.Duration
	// firstToken is the least time to the first token. It may be 100 ms longer.
	firstToken time.Duration
	// hasOneSubject means that all sound requests have the same parts.
	hasOneSubject bool
	requests      uint64 // arrived so far
	ev            *events
	rng           *rand.Rand
	zipf          *rand.Zipf
	nodes         []*partsNode
	pool          []*partsServer
	stats         partsStats
	endTime       time.Time
}

func newPartsTrial(s partsSize, way partsWay, seed uint64) *partsTrial {
	t := &partsTrial{partsSize: s, way: way, firstToken: 250 * time.Millisecond, ev: newEvents(), rng: rand.New(rand.NewPCG(seed, 7))}
	t.zipf = rand.NewZipf(t.rng, partsSubjectSkew, 1, partsSubjects-1)
	t.stats.soundConvicted = map[string]bool{}
	for range s.nodes {
		t.addNode()
	}
	for i := range s.servers {
		t.pool = append(t.pool, &partsServer{id: fmt.Sprint("s", i)})
	}
	return t
}

func (t *partsTrial) addNode() *partsNode {
	n := &partsNode{trials: &dispatch.Trials{}, suspects: dispatch.NewSuspectsWithRule(partsMaxAttempts, t.way.rule), skew: t.between(-partsMaxSkew, partsMaxSkew)}
	t.nodes = append(t.nodes, n)
	return n
}

// between returns a random time from the range.
func (t *partsTrial) between(low, high time.Duration) time.Duration {
	return low + time.Duration(t.rng.Int64N(int64(high-low)))
}

func (t *partsTrial) clock(n *partsNode) time.Time { return t.ev.now.Add(n.skew) }

// run sends requests for the given time.
func (t *partsTrial) run(duration time.Duration) *partsStats {
	t.endTime = epoch.Add(duration)
	t.stats.parts = make([]crashingPartStats, t.crashing)
	t.scheduleArrival()
	t.ev.run(t.endTime)
	for _, n := range t.nodes {
		list, _ := n.suspects.SnapshotIfChanged(t.clock(n))
		t.stats.records = max(t.stats.records, len(list))
	}
	return &t.stats
}

func (t *partsTrial) scheduleArrival() {
	t.ev.after(time.Duration(t.rng.ExpFloat64()/t.rate*float64(time.Second)), func() {
		t.requests++
		r := &partsRequest{id: t.requests, parts: []dispatch.Part{dispatch.NewPart("shared")}, crashing: -1, arrived: t.ev.now}
		if t.crashing > 0 && t.ev.now.Sub(epoch) > partsWarmUp && t.rng.Float64() < t.share {
			r.crashing = t.rng.IntN(t.crashing)
			r.parts = append(r.parts, dispatch.NewPart(fmt.Sprint(crashingPrefix, r.crashing)))
		}
		if !t.hasOneSubject {
			r.parts = append(r.parts, dispatch.NewPart(fmt.Sprint("subject", t.zipf.Uint64())))
		} else if r.crashing < 0 {
			r.parts = append(r.parts, dispatch.NewPart("subject"))
		}
		if r.crashing < 0 {
			t.stats.soundSent++
		}
		t.try(t.anyNode(), r)
		t.scheduleArrival()
	})
}

func (t *partsTrial) anyNode() *partsNode {
	for {
		if n := t.nodes[t.rng.IntN(len(t.nodes))]; !n.isDead {
			return n
		}
	}
}

// try sends a request to the less busy of two random servers that accept
// connections.
func (t *partsTrial) try(n *partsNode, r *partsRequest) {
	if n.isDead {
		return
	}
	if _, refused := n.suspects.QuarantinedPart(r.parts, t.clock(n)); refused {
		t.stats.recordRefusal(r)
		return
	}
	endTrial, mayTry := t.beginTrial(n, r)
	if !mayTry {
		return
	}
	s := t.choose(r)
	if s == nil {
		endTrial()
		if t.ev.now.Sub(r.arrived) < partsMaxWait {
			t.ev.after(partsRetryDelay, func() { t.try(n, r) })
		}
		return
	}
	r.attempts++
	r.tried = append(r.tried, s)
	a := &partsAttempt{request: r, node: n, server: s, endTrial: endTrial}
	s.running = append(s.running, a)
	n.active = append(n.active, a)
	t.stats.recordArrival(r, t.ev.now, n.cutUntil.Add(partsLateAfter).Before(t.ev.now))
	t.ev.after(t.between(t.firstToken, t.firstToken+100*time.Millisecond), func() { t.begin(a) })
}

// beginTrial begins the trial of a request, or lets it try again later or refuses it.
func (t *partsTrial) beginTrial(n *partsNode, r *partsRequest) (end func(), mayTry bool) {
	if !t.way.tries {
		return func() {}, true
	}
	end, wait := n.trials.Begin(n.suspects, r.parts, t.clock(n))
	if wait == 0 {
		r.trialSince = time.Time{}
		return end, true
	}
	if r.trialSince.IsZero() {
		r.trialSince = t.ev.now
	}
	if t.ev.now.Add(wait).Sub(r.trialSince) <= partsMaxTrialWait {
		t.ev.after(wait, func() { t.try(n, r) })
	}
	return nil, false
}

func (t *partsTrial) choose(r *partsRequest) *partsServer {
	var best *partsServer
	found := 0
	for range 4 * len(t.pool) {
		s := t.pool[t.rng.IntN(len(t.pool))]
		if s.isDown || slices.Contains(r.tried, s) {
			continue
		}
		if best == nil || len(s.running) < len(best.running) {
			best = s
		}
		if found++; found == 2 {
			break
		}
	}
	return best
}

func (t *partsTrial) begin(a *partsAttempt) {
	if a.isEnd {
		return
	}
	a.hasBegun = true
	if a.request.crashing >= 0 {
		t.ev.after(t.between(50*time.Millisecond, 100*time.Millisecond), func() {
			if !a.isEnd {
				t.crash(a.server, a.request.crashing, t.downTime())
			}
		})
		return
	}
	answer := time.Duration(t.rng.ExpFloat64() * float64(partsMeanAnswer))
	t.ev.after(min(answer, partsSurvivalAge), func() {
		if !a.isEnd && !a.node.isDead {
			a.hasSurvived = true
			a.endTrial()
			a.node.suspects.RecordStart(a.request.id, a.request.parts, t.clock(a.node))
			t.publish(a.node, a.node.suspects.RecordSurvival(a.request.parts, t.clock(a.node)))
		}
	})
	t.ev.after(answer, func() {
		if !a.isEnd {
			t.stats.soundServed++
		}
		t.end(a)
	})
}

// downTime returns how long a server is down that a part has crashed.
func (t *partsTrial) downTime() time.Duration {
	if t.backAfter > 0 {
		return t.backAfter
	}
	return t.between(3*time.Second, 6*time.Second)
}

// end removes an attempt from its node and its server.
func (t *partsTrial) end(a *partsAttempt) {
	if a.isEnd {
		return
	}
	a.isEnd = true
	isThis := func(other *partsAttempt) bool { return other == a }
	a.server.running = slices.DeleteFunc(a.server.running, isThis)
	a.node.active = slices.DeleteFunc(a.node.active, isThis)
}

// crash takes a server down because of a crashing part, or of another cause if
// crashing is negative.
func (t *partsTrial) crash(s *partsServer, crashing int, downTime time.Duration) {
	if s.isDown {
		return
	}
	s.isDown = true
	t.stats.recordCrash(crashing, t.ev.now)
	for _, a := range slices.Clone(s.running) {
		t.end(a)
		t.ev.after(partsCrashSeen, func() { t.reportCrash(a) })
	}
	t.ev.after(downTime, func() { s.isDown = false })
}

// reportCrash records the crash at the node whose answer broke off, which tries
// the request elsewhere.
func (t *partsTrial) reportCrash(a *partsAttempt) {
	n := a.node
	if n.isDead {
		return
	}
	if !t.way.wholeRequests {
		starting := a.request.parts
		if a.hasSurvived {
			starting = nil
		}
		list := n.suspects.RecordPartCrash(a.request.id, starting, a.server.id, t.clock(n))
		for i, e := range list {
			if t.way.blamesAll {
				n.suspects.Quarantine(e, t.clock(n))
				list[i].Convicted = true
			}
		}
		t.publish(n, list)
	}
	a.endTrial()
	if a.request.attempts < partsMaxAttempts {
		t.try(n, a.request)
	}
}

// publish sends records to all other nodes. Few messages are lost, or repeated.
func (t *partsTrial) publish(n *partsNode, list []wire.Suspect) {
	if len(list) == 0 {
		return
	}
	t.learn(n)
	raw, _ := json.Marshal(list)
	t.stats.messages++
	for _, other := range t.nodes {
		isLost := n.cutUntil.After(t.ev.now) || other.cutUntil.After(t.ev.now) || t.rng.Float64() < partsLostMessages
		if other == n || other.isDead || isLost {
			continue
		}
		t.stats.newsBytes += len(raw)
		t.deliver(other, list)
		if t.rng.Float64() < partsLostMessages {
			t.deliver(other, list)
		}
	}
}

func (t *partsTrial) deliver(n *partsNode, list []wire.Suspect) {
	t.ev.after(t.between(20*time.Millisecond, 200*time.Millisecond), func() {
		if !n.isDead {
			n.suspects.Merge(t.clock(n), list)
			t.learn(n)
			t.publish(n, n.suspects.TakeVerdicts())
		}
	})
}

// learn records what a node quarantines, and cancels its requests for it.
func (t *partsTrial) learn(n *partsNode) {
	for _, e := range n.suspects.Quarantined(t.clock(n)) {
		if !strings.HasPrefix(e.Part, crashingPrefix) {
			t.stats.soundConvicted[e.Part] = true
		}
		t.stats.recordConviction(e.Part, t.ev.now)
	}
	if !t.way.cancels {
		return
	}
	for _, a := range slices.Clone(n.active) {
		if _, refused := n.suspects.QuarantinedPart(a.request.parts, t.clock(n)); refused && !a.hasBegun {
			a.endTrial()
			t.end(a)
			t.stats.recordRefusal(a.request)
		}
	}
}
