package pool

import (
	"math"
	"time"
)

// Load is the load that a server last reported.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Speed is how long work currently takes at the server, in percent of the usual
	// time. It is 0 if the server does not report it.
	Speed float64
	At    time.Time
}

const (
	// loadTTL is how long a reported load is used: two of the slowest report
	// intervals that were seen in a quiet pool.
	loadTTL = 2 * time.Second
	// remoteWorkTTL is how long the work of other nodes is used. It is sent
	// every 500 ms and passes through two hubs.
	remoteWorkTTL = 3 * time.Second
	// queuedRequestWait is the expected wait for each request in a server's
	// queue.
	queuedRequestWait = 30 * time.Millisecond
	// speedHalfLife is how fast a reported speed replaces the ones before, and how
	// fast it loses its meaning: servers stay slow for about twice that time.
	speedHalfLife = 300 * time.Millisecond
	// slowFactor is the time that work takes, relative to the usual time, from which a
	// server counts as slow. Smaller differences do not change the choice: all nodes
	// would turn to the few fastest servers.
	slowFactor = 1.25
)

// Details are the figures of some nodes' work at a server that are known only where long
// prompts are told from short ones.
type Details struct {
	// LongPrefill is the usual time to read the long prompts that were not read yet.
	LongPrefill time.Duration
	// Tokens is the memory that the requests in progress take: their prompts and the
	// output that is expected.
	Tokens float64
}

// Add returns the sum of two nodes' details.
func (d Details) Add(x Details) Details {
	return Details{d.LongPrefill + x.LongPrefill, d.Tokens + x.Tokens}
}

// Without returns the part of a sum that is not of x. x may be newer than the sum.
func (d Details) Without(x Details) Details {
	return Details{max(d.LongPrefill-x.LongPrefill, 0), max(d.Tokens-x.Tokens, 0)}
}

// LocalDetails returns the details of this node's own work.
func (m *Member) LocalDetails() Details {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.details
}

// SetRemoteDetails sets the figures that LocalDetails returns for this node, summed over all
// other nodes.
func (m *Member) SetRemoteDetails(d Details, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remote.details, m.remote.detailsAt = d, now
}

// LoadEstimate is what a node knows of the load of one server at one moment. The methods
// are pure functions.
type LoadEstimate struct {
	Slots int
	// Running is the number of requests of all nodes, as far as this one knows.
	Running int
	// Reported and Queued are the requests that the server last reported, with those
	// that this node has sent since, and those of them that wait. They are 0 if the
	// report is too old.
	Reported int
	Queued   int
	// Backlog is the usual time to read the prompts that wait to be read.
	Backlog time.Duration
	// LongBacklog is the part of Backlog that is for long prompts.
	LongBacklog time.Duration
	// Tokens is the memory that the requests of all nodes take, in tokens.
	Tokens float64
	// Speed is how long work takes at present, relative to the usual time.
	Speed float64
	// ReportAge is the age of the server's report, RemoteAge that of the work of the
	// other nodes.
	ReportAge time.Duration
	RemoteAge time.Duration
}

// LoadEstimate returns the load of the server.
func (m *Member) LoadEstimate(now time.Time) LoadEstimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.estimateLoad(now)
}

// estimateLoad is LoadEstimate for callers that hold mu.
func (m *Member) estimateLoad(now time.Time) LoadEstimate {
	p := LoadEstimate{
		Slots: m.Slots, Running: m.running, Backlog: m.pendingPrefill, Speed: m.speed.factor(now),
		LongBacklog: m.details.LongPrefill, Tokens: m.usedTokens(now), ReportAge: now.Sub(m.load.At), RemoteAge: now.Sub(m.remote.at),
	}
	if p.RemoteAge < remoteWorkTTL {
		p.Running += m.remote.running
		p.Backlog += m.remote.pendingPrefill
	}
	if now.Sub(m.remote.detailsAt) < remoteWorkTTL {
		p.LongBacklog += m.remote.details.LongPrefill
	}
	if p.ReportAge < loadTTL {
		p.Reported, p.Queued = m.load.Running+m.load.Waiting+m.sentSinceReport, m.load.Waiting
	}
	return p
}

// Busy estimates the number of requests that the server has. It is the larger of two
// figures: the server's report plus the requests that this node has sent since, and the
// requests that all nodes have there.
func (p LoadEstimate) Busy() int { return max(p.Running, p.Reported) }

// Occupancy estimates the share of slots in use; it is above 1 if requests wait.
func (p LoadEstimate) Occupancy() float64 { return float64(p.Busy()) / float64(max(p.Slots, 1)) }

// UsualWait estimates how long a new prompt waits at the usual speed until the server
// begins to read it.
func (p LoadEstimate) UsualWait() time.Duration {
	return p.Backlog + time.Duration(p.Queued)*queuedRequestWait
}

// Wait is UsualWait at the present speed.
func (p LoadEstimate) Wait() time.Duration { return scale(p.UsualWait(), p.Speed) }

// IsSlow reports whether work takes much longer than usual.
func (p LoadEstimate) IsSlow() bool { return p.Speed >= slowFactor }

// survey counts servers while the eligible ones are selected.
type survey struct {
	limit float64 // tokens in a server's memory up to which the request fits
	slow  int
	full  int // eligible servers above limit
}

// memoryLimit returns the tokens in a server's memory up to which the request fits. It is
// infinite if the memory is not known, or if the request would not fit in an empty server either.
func (q *Query) memoryLimit() float64 {
	if limit := q.MemoryTokens - q.Tokens; q.MemoryTokens > 0 && limit >= 0 {
		return limit
	}
	return math.Inf(1)
}

// accept reports whether the server may be chosen, and counts it if so: it takes requests, is
// not held off for its limit, and is not ejected unless that is allowed.
func (s *survey) accept(m *Member, now time.Time, allowEjected bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.available(now) || m.heldOff(now) || !allowEjected && m.health.IsEjected(now) {
		return false
	}
	if m.speed.factor(now) >= slowFactor {
		s.slow++
	}
	if m.usedTokens(now) > s.limit {
		s.full++
	}
	return true
}

// usedTokens returns the memory that the requests of all nodes take. The caller holds mu.
func (m *Member) usedTokens(now time.Time) float64 {
	if m.remote.details.Tokens == 0 || now.Sub(m.remote.detailsAt) >= remoteWorkTTL {
		return m.details.Tokens
	}
	return m.details.Tokens + m.remote.details.Tokens
}

// withRoom returns the servers whose memory has at most limit tokens in use, or all if there
// is none.
func withRoom(members []*Member, limit float64, now time.Time) []*Member {
	roomy := make([]*Member, 0, len(members))
	for _, m := range members {
		if m.LoadEstimate(now).Tokens <= limit {
			roomy = append(roomy, m)
		}
	}
	if len(roomy) == 0 {
		return members
	}
	return roomy
}

// Totals is the sum of the pictures of a service's servers.
type Totals struct {
	// LongBacklog and ShortBacklog are the usual times to read the prompts that wait.
	LongBacklog, ShortBacklog time.Duration
	Tokens                    float64
	SlowServers               int
}

// Totals returns the sums of the servers' pictures by service.
func (p *Pool) Totals(now time.Time) map[string]Totals {
	out := map[string]Totals{}
	p.Each(func(m *Member) {
		x, t := m.LoadEstimate(now), out[m.Service]
		t.LongBacklog += x.LongBacklog
		t.ShortBacklog += max(x.Backlog-x.LongBacklog, 0)
		t.Tokens += x.Tokens
		if x.IsSlow() {
			t.SlowServers++
		}
		out[m.Service] = t
	})
	return out
}

// scale multiplies a duration.
func scale(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// speed estimates how long work takes at a server relative to the usual time. The zero
// value is the usual speed.
type speed struct {
	excess float64 // share of the usual time by which work takes longer
	at     time.Time
}

// factor returns the present estimate. It approaches 1 without reports, and is 1 after
// loadTTL.
func (s speed) factor(now time.Time) float64 {
	if s.excess == 0 {
		return 1
	}
	age := now.Sub(s.at)
	if age >= loadTTL {
		return 1
	}
	return 1 + s.excess*math.Exp2(-max(age, 0).Seconds()/speedHalfLife.Seconds())
}

// record adds a report in percent. The older the last report is, the more the new one counts.
func (s *speed) record(percent float64, now time.Time) {
	old := s.factor(now) - 1
	weight := 1.0
	if age := now.Sub(s.at); age < loadTTL {
		weight = 1 - math.Exp2(-max(age, 0).Seconds()/speedHalfLife.Seconds())
	}
	s.excess, s.at = old+weight*(percent/100-1-old), now
}
