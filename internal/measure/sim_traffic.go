package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

// The ranks of trials, the most urgent first.
const (
	urgent = iota
	normal
	background
	simRanks
)

// rankNames name the ranks in figures.
var rankNames = [simRanks]string{"urgent", "normal", "background"}

// kind shapes the work of one rank.
type kind struct {
	template int // shared blocks at the head of each prompt
	own      int // blocks of the request's own
	answer   float64
	declared float64 // the declared limit over the mean answer
	turns    float64 // chance that a session goes on
	target   time.Duration
	deadline time.Duration
}

var kinds = [simRanks]kind{
	urgent:     {template: 4, own: 2, answer: 60, declared: 3, turns: 0.7, target: 910 * time.Millisecond, deadline: 20 * time.Second},
	normal:     {template: 8, own: 5, answer: 300, declared: 3, turns: 0.7, target: 3 * time.Second, deadline: time.Minute},
	background: {template: 10, own: 14, answer: 600, declared: 2, turns: 0, target: 30 * time.Second, deadline: 5 * time.Minute},
}

// source is a Poisson stream of requests of one organisation and rank.
type source struct {
	organisation int
	rank         int
	rate         float64 // requests a second
	from, to     time.Duration
	// manner is what callers do once refused.
	manner manner
}

// manner is what a refused caller does.
type manner int

const (
	leaves   manner = iota // gives up
	obeys                  // comes back at the given time
	insists                // comes back at once, again and again
	maxTries = 6
)

// simRequest is one caller's request through all its tries.
type simRequest struct {
	id           int
	organisation int
	rank         int
	home         int
	prompt       int
	blocks       []uint64
	answer       int
	declared     int
	manner       manner
	arrived      time.Time
	asked        time.Time
	try          *simTry
	tries        int
	told         time.Duration
	first        time.Duration
	done         bool
	late         bool
	crashes      bool // brings its engine down
	away         bool // refused, and not yet back
	refused      bool
	hit          int
	steps        int
	counted      int // tokens within the measured window
	decoding     time.Duration
	paused       int
	began        string // the replica that last ran it
}

// traffic makes the requests of a trial. The same seed gives the same
// requests under each policy.
type traffic struct {
	rng      *rand.Rand
	nodes    int
	next     int
	sessions map[[2]int][]session
}

// session is a conversation whose next prompt begins with the last one.
type session struct {
	blocks []uint64
	home   int
}

const (
	sessionsKept   = 24
	templatesEach  = 2
	maxTurnsBlocks = 48
)

func newTraffic(seed uint64, nodes int) *traffic {
	return &traffic{rng: rand.New(rand.NewPCG(seed, 2)), nodes: nodes, sessions: map[[2]int][]session{}}
}

// request makes the next request of a source.
func (t *traffic) request(s source) *simRequest {
	k := kinds[s.rank]
	r := &simRequest{id: t.next, organisation: s.organisation, rank: s.rank, manner: s.manner}
	t.next++
	key := [2]int{s.organisation, s.rank}
	list := t.sessions[key]
	if len(list) > 0 && t.rng.Float64() < k.turns {
		i := t.rng.IntN(len(list))
		r.blocks = t.extend(list[i].blocks, k.own)
		r.home = list[i].home
		list[i].blocks = r.blocks
		if len(r.blocks) > maxTurnsBlocks {
			t.sessions[key] = append(list[:i], list[i+1:]...)
		}
	} else {
		template := chain(uint64(s.organisation*simRanks+s.rank)*templatesEach+uint64(t.rng.IntN(templatesEach))+1, k.template)
		r.blocks = t.extend(template, k.own)
		r.home = t.shard(s.organisation)
		if k.turns > 0 && len(list) < sessionsKept {
			t.sessions[key] = append(list, session{blocks: r.blocks, home: r.home})
		}
	}
	r.prompt = len(r.blocks)*blockTokens + t.rng.IntN(blockTokens)
	r.answer = max(int(k.answer*math.Exp(t.rng.NormFloat64()*0.5-0.125)), 4)
	r.declared = max(int(k.answer*k.declared), r.answer)
	return r
}

// shard draws one of the nodes that the directory gives an organisation.
func (t *traffic) shard(organisation int) int {
	n := min(t.nodes, max(4, int(math.Sqrt(float64(t.nodes)))))
	return (organisation*n + t.rng.IntN(n)) % t.nodes
}

// chain makes the blocks of a template.
func chain(id uint64, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = id<<16 | uint64(i)
	}
	return out
}

// extend appends fresh blocks.
func (t *traffic) extend(blocks []uint64, n int) []uint64 {
	out := make([]uint64, 0, len(blocks)+n)
	out = append(out, blocks...)
	for range max(1, n/2+t.rng.IntN(n+1)) {
		out = append(out, t.rng.Uint64()|1<<63)
	}
	return out
}
