// Package permit grants requests to backend servers that limit their rate. A server's
// limit holds for all nodes together, so one node, the coordinator, grants each
// request, and a roster of nodes tells how much of the limits this coordinator may
// grant. The package reads no clock and does no I/O.
package permit

import (
	"math"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
)

// Server is a backend server whose limit is in force.
type Server struct {
	ID      string
	Started int64
	// Limit is the number of requests per second that the server takes from all nodes
	// together.
	Limit float64
	// IsCold is set if the limit is that of a cold server, which holds in each second.
	IsCold bool
}

// burst returns how many permits of the server a coordinator with a share of the limit saves
// up. For a cold server the parts of a divided fleet together save up no more than one.
func (s Server) burst(share float64) float64 {
	if s.IsCold {
		return max(1, burst(s.Limit)*share)
	}
	return burst(rate(s.Limit, share))
}

// Request asks for a permit to send one request to one of several servers.
type Request struct {
	Service string
	// Servers lists the servers that may take the request, the preferred one first.
	Servers []Server
	// IsLast is set if no server without a limit can take the request.
	IsLast bool
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank         int
	Organisation string
	// Fingerprint is equal for the attempts of one caller to send one request.
	Fingerprint uint64
	// TimeLeft is how long the caller still waits.
	TimeLeft time.Duration
	// Withheld is the part of the limits, 0 to 1, that the asking node leaves to nodes
	// which may be cut off. A coordinator that has joined since does not know of them.
	Withheld float64
}

// Reply answers a Request.
type Reply struct {
	// Granted is the position in Servers, counted from 1, of the server that the permit is
	// for. The zero value grants nothing.
	Granted int
	// IsCoordinator is false if the node that was asked may not grant permits.
	IsCoordinator bool
	// Next is the time until a request is worth another ask: the first of the servers
	// has a permit again.
	Next time.Duration
	// RetryAfter is when the caller of a refused request may return.
	RetryAfter time.Duration
}

const (
	// MinRate is the rate, in requests per second, granted to a server that names a lower
	// limit. Without any answer of the server the end of its limit could not be learned.
	MinRate = 0.1
	// minBurst and burstTime bound the permits that a server saves up: a number of
	// requests, and a time of its limit.
	minBurst  = 4
	burstTime = 250 * time.Millisecond
	// spareBurst is saved up beyond that, so that no permit is lost until the request
	// with the worst claim has come for it.
	spareBurst = 0.5
	// withheldTime is how long the part of the limits counts that an asking node left to
	// others.
	withheldTime = 5 * time.Second
	// serverTTL is how long the state of a server without requests is kept.
	serverTTL = time.Minute
)

// bucket holds the unused permits of one server.
type bucket struct {
	admission.RateBucket
	started int64
}

func burst(rate float64) float64 { return max(minBurst, rate*burstTime.Seconds()) }

// Coordinator grants permits. It is safe for concurrent use.
type Coordinator struct {
	// share returns the part of each limit that this node may grant, or 0 and when to ask
	// again.
	share      func(now time.Time) (float64, time.Duration)
	mu         sync.Mutex
	buckets    map[string]*bucket     // guarded by mu; by server ID
	contention map[string]*contention // guarded by mu; by service
	lastPrune  time.Time              // guarded by mu
	// withheld is the largest part of the limits that asking nodes left to others,
	// withheldAt when one of them last said so.
	withheld   float64   // guarded by mu
	withheldAt time.Time // guarded by mu
}

// NewCoordinator returns a coordinator that has granted nothing. share returns the part
// of each limit that this node may grant, or 0 and when to ask again.
func NewCoordinator(share func(now time.Time) (float64, time.Duration)) *Coordinator {
	return &Coordinator{share: share, buckets: map[string]*bucket{}, contention: map[string]*contention{}}
}

// Acquire grants or refuses a request.
func (c *Coordinator) Acquire(q Request, now time.Time) Reply {
	share, wait := c.share(now)
	if share <= 0 {
		return Reply{Next: min(wait, retryInterval), RetryAfter: wait}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(now)
	if share = min(share, 1-c.withhold(q.Withheld, now)); share <= 0 {
		return Reply{Next: retryInterval, RetryAfter: presenceRetryInterval}
	}
	k := c.contention[q.Service]
	if k == nil {
		k = newContention()
		c.contention[q.Service] = k
	}
	supply := 0.0
	for _, s := range q.Servers {
		c.refill(s, share, now)
		supply += rate(s.Limit, share)
	}
	cl := k.claim(q, supply, now)
	for i, s := range q.Servers {
		b := c.buckets[s.ID]
		if b.Tokens >= threshold(s, share, cl) {
			b.Tokens--
			k.recordGrant(q, now)
			return Reply{Granted: i + 1, IsCoordinator: true}
		}
	}
	next := c.next(q.Servers, share, cl)
	return Reply{IsCoordinator: true, Next: next, RetryAfter: k.recordRefusal(q, next, supply, now)}
}

// withhold records what an asking node leaves to others, and returns the most that any
// has left lately. The caller holds mu.
func (c *Coordinator) withhold(part float64, now time.Time) float64 {
	if part >= c.withheld || now.Sub(c.withheldAt) > withheldTime {
		c.withheld, c.withheldAt = part, now
	}
	return c.withheld
}

// threshold returns how many permits a server must have saved up to grant one. Some are
// kept back for requests with a better claim, which arrive at any time and do not wait.
// The others may have one before the bucket is full, so that no permit is lost.
func threshold(s Server, share float64, cl claim) float64 {
	saved := s.burst(share) - 1
	return 1 + saved*reserved[cl]
}

// rate returns the rate at which a coordinator with a share of a limit grants permits.
func rate(limit, share float64) float64 { return max(limit, MinRate) * share }

// refill brings the bucket of a server up to date. The caller holds mu.
func (c *Coordinator) refill(s Server, share float64, now time.Time) {
	b := c.buckets[s.ID]
	if b == nil || b.started != s.Started {
		// What other nodes sent lately is unknown, so nothing is saved up.
		b = &bucket{started: s.Started}
		c.buckets[s.ID] = b
	}
	r := rate(s.Limit, share)
	b.Refill(r, s.burst(share)+spareBurst, now)
}

// next returns the time until the first of the servers has a permit. The caller holds
// mu.
func (c *Coordinator) next(servers []Server, share float64, cl claim) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, s := range servers {
		missing := max(threshold(s, share, cl)-c.buckets[s.ID].Tokens, 0)
		shortest = min(shortest, seconds(missing/rate(s.Limit, share)))
	}
	return shortest
}

// seconds converts seconds to a duration, bounded by a minute.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 60) * float64(time.Second))
}

// prune drops servers and services without recent requests. The caller holds mu.
func (c *Coordinator) prune(now time.Time) {
	if now.Sub(c.lastPrune) < serverTTL {
		return
	}
	c.lastPrune = now
	for id, b := range c.buckets {
		if now.Sub(b.RefilledAt()) > serverTTL {
			delete(c.buckets, id)
		}
	}
	for service, k := range c.contention {
		if now.Sub(k.at) > serverTTL {
			delete(c.contention, service)
		}
	}
}
