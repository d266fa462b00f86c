package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

// The ranks of the trials, the most urgent first.
const (
	urgent = iota
	normal
	background
	rankCount
)

// rankNames are the ranks' names in table columns.
var rankNames = [rankCount]string{"urgent", "normal", "background"}

// rankWorkload describes the requests of one rank.
type rankWorkload struct {
	templateBlocks      int // shared blocks at the head of each prompt
	ownBlocks           int // mean number of a request's own blocks
	meanAnswer          float64
	declaredFactor      float64 // the declared limit in multiples of meanAnswer
	continueProbability float64 // probability that a request continues a session
	firstTokenTarget    time.Duration
	deadline            time.Duration
}

var rankWorkloads = [rankCount]rankWorkload{
	urgent:     {templateBlocks: 4, ownBlocks: 2, meanAnswer: 60, declaredFactor: 3, continueProbability: 0.7, firstTokenTarget: 910 * time.Millisecond, deadline: 20 * time.Second},
	normal:     {templateBlocks: 8, ownBlocks: 5, meanAnswer: 300, declaredFactor: 3, continueProbability: 0.7, firstTokenTarget: 3 * time.Second, deadline: time.Minute},
	background: {templateBlocks: 10, ownBlocks: 14, meanAnswer: 600, declaredFactor: 2, continueProbability: 0, firstTokenTarget: 30 * time.Second, deadline: 5 * time.Minute},
}

// source is a Poisson stream of requests of one organisation and rank.
type source struct {
	organisation int
	rank         int
	rate         float64 // requests per second
	start, end   time.Duration
	// behaviour is what callers do once refused.
	behaviour refusalBehaviour
}

// refusalBehaviour is what a refused caller does.
type refusalBehaviour int

const (
	givesUp         refusalBehaviour = iota // ends the request
	obeysRetryAfter                         // retries at the given time
	retriesAtOnce                           // retries at once, up to maxCallerTries in all
	maxCallerTries  = 6
)

// simRequest is a caller's request with all its tries. Its times are relative
// to tryStarted (firstToken) or arrived (promisedRetry).
type simRequest struct {
	id             int
	organisation   int
	rank           int
	entryNode      int
	promptTokens   int
	blocks         []uint64
	answerTokens   int
	declaredTokens int
	behaviour      refusalBehaviour
	arrived        time.Time
	tryStarted     time.Time
	attempt        *simAttempt
	callerTries    int
	promisedRetry  time.Duration
	firstToken     time.Duration
	isDone         bool
	isLate         bool
	crashesEngine  bool // crashes the engine that runs it
	isAway         bool // refused and not yet retried
	isRefused      bool
	cachedTokens   int
	receivedTokens int
	countedTokens  int // tokens in the measured window
	decodingTime   time.Duration
	pauses         int
	lastReplica    string // ID of the replica that ran it last
}

// traffic generates the requests of a trial. The same seed gives the same
// requests under each policy.
type traffic struct {
	rng      *rand.Rand
	nodes    int
	nextID   int
	sessions map[[2]int][]session
}

// session is a conversation whose next prompt begins with the last one.
type session struct {
	blocks    []uint64
	entryNode int
}

const (
	maxSessions          = 24
	templatesPerWorkload = 2
	maxSessionBlocks     = 48
)

func newTraffic(seed uint64, nodes int) *traffic {
	return &traffic{rng: rand.New(rand.NewPCG(seed, 2)), nodes: nodes, sessions: map[[2]int][]session{}}
}

// newRequest generates the next request of a source.
func (t *traffic) newRequest(s source) *simRequest {
	workload := rankWorkloads[s.rank]
	r := &simRequest{id: t.nextID, organisation: s.organisation, rank: s.rank, behaviour: s.behaviour}
	t.nextID++
	key := [2]int{s.organisation, s.rank}
	sessions := t.sessions[key]
	if len(sessions) > 0 && t.rng.Float64() < workload.continueProbability {
		i := t.rng.IntN(len(sessions))
		r.blocks = t.appendFreshBlocks(sessions[i].blocks, workload.ownBlocks)
		r.entryNode = sessions[i].entryNode
		sessions[i].blocks = r.blocks
		if len(r.blocks) > maxSessionBlocks {
			t.sessions[key] = append(sessions[:i], sessions[i+1:]...)
		}
	} else {
		template := newTemplate(uint64(s.organisation*rankCount+s.rank)*templatesPerWorkload+uint64(t.rng.IntN(templatesPerWorkload))+1, workload.templateBlocks)
		r.blocks = t.appendFreshBlocks(template, workload.ownBlocks)
		r.entryNode = t.drawEntryNode(s.organisation)
		if workload.continueProbability > 0 && len(sessions) < maxSessions {
			t.sessions[key] = append(sessions, session{blocks: r.blocks, entryNode: r.entryNode})
		}
	}
	r.promptTokens = len(r.blocks)*blockTokens + t.rng.IntN(blockTokens)
	r.answerTokens = max(int(workload.meanAnswer*math.Exp(t.rng.NormFloat64()*0.5-0.125)), 4)
	r.declaredTokens = max(int(workload.meanAnswer*workload.declaredFactor), r.answerTokens)
	return r
}

// drawEntryNode returns one of the nodes that the directory assigns to an
// organisation.
func (t *traffic) drawEntryNode(organisation int) int {
	n := min(t.nodes, max(4, int(math.Sqrt(float64(t.nodes)))))
	return (organisation*n + t.rng.IntN(n)) % t.nodes
}

// newTemplate returns the blocks of a prompt template.
func newTemplate(id uint64, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = id<<16 | uint64(i)
	}
	return out
}

// appendFreshBlocks returns a copy of blocks extended by about n new ones.
func (t *traffic) appendFreshBlocks(blocks []uint64, n int) []uint64 {
	out := make([]uint64, 0, len(blocks)+n)
	out = append(out, blocks...)
	for range max(1, n/2+t.rng.IntN(n+1)) {
		out = append(out, t.rng.Uint64()|1<<63)
	}
	return out
}
