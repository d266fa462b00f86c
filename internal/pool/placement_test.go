package pool

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/prefix"
)

// event is an action at a simulated time.
type event struct {
	at  time.Time
	run func()
}

// events is a heap of events ordered by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// promptLoad describes a load of long prompts that share prefixes. Engines read
// one prompt after the other. The first read of a prefix takes longer.
type promptLoad struct {
	nodes, engines, prefixes     int
	perSecond                    float64
	coldReadTime, cachedReadTime time.Duration
	// gossipDelay is the time until nodes receive each other's prompts.
	gossipDelay time.Duration
	// hasPrefixIndex gives nodes an index of the prefixes that each engine has
	// read. Without it each node assumes that a prefix is cached at the first
	// engine in its rendezvous order.
	hasPrefixIndex bool
}

// simulate returns the sorted times until each prompt is read.
func (l promptLoad) simulate() []time.Duration {
	rng := rand.New(rand.NewPCG(20261204, 1))
	var pools []*Pool
	var indexes []*prefix.Index
	for range l.nodes {
		p := New()
		p.Update(engines(l.engines), start)
		pools, indexes = append(pools, p), append(indexes, prefix.New())
	}
	type cacheKey struct{ engine, prefix string }
	freeAt, isRead := map[string]time.Time{}, map[cacheKey]bool{}
	remotePrefill := map[*Member]time.Duration{} // pending prefill of the other nodes
	var queue events
	var waits []time.Duration
	publish := func(node int, engine string, pendingPrefill time.Duration, entries []prefix.Entry, at time.Time) {
		heap.Push(&queue, event{at, func() {
			for i, p := range pools {
				if i == node {
					continue
				}
				m := p.Member(engine)
				remotePrefill[m] += pendingPrefill
				indexes[i].Merge(entries, at)
			}
		}})
	}
	send := func(now time.Time) {
		node, promptPrefix := rng.IntN(l.nodes), strconv.Itoa(rng.IntN(l.prefixes))
		part := prefix.HashPart("m", promptPrefix)
		q := Query{Service: "s", Affinity: promptPrefix, ColdReadTime: l.coldReadTime, CachedReadTimes: map[prefix.Server]time.Duration{}, DataCentre: "dc", Draw: rng.Float64}
		p := pools[node]
		p.Each(func(m *Member) { m.SetRemoteWork(0, remotePrefill[m], now) })
		if l.hasPrefixIndex {
			for server := range indexes[node].Cached([]prefix.Part{part}, now) {
				q.CachedReadTimes[server] = l.cachedReadTime
			}
		} else {
			home, _ := topTwoByScore(p.Members("s"), promptPrefix)
			q.CachedReadTimes[home.Key()] = l.cachedReadTime
		}
		m, expected := p.Choose(q, now)
		indexes[node].RecordUse(m.Key(), []prefix.Part{part}, now)
		m.BeginRequest(now, expected)
		readTime := l.coldReadTime
		if isRead[cacheKey{m.ID, promptPrefix}] {
			readTime = l.cachedReadTime
		}
		isRead[cacheKey{m.ID, promptPrefix}] = true
		done := now.Add(readTime)
		if freeAt[m.ID].After(now) {
			done = freeAt[m.ID].Add(readTime)
		}
		freeAt[m.ID] = done
		waits = append(waits, done.Sub(now))
		publish(node, m.ID, expected, indexes[node].ConsumePending(), now.Add(l.gossipDelay))
		publish(node, m.ID, -expected, nil, done.Add(l.gossipDelay))
		heap.Push(&queue, event{done, func() { m.FinishPrefill(expected) }})
	}
	at := start
	for range 2000 {
		at = at.Add(time.Duration(rng.ExpFloat64() / l.perSecond * float64(time.Second)))
		heap.Push(&queue, event{at, func() { send(at) }})
		for len(queue) > 0 && !queue[0].at.After(at) {
			heap.Pop(&queue).(event).run()
		}
	}
	slices.Sort(waits)
	return waits
}

// percentile90 returns the time within which 90 % of the prompts are read.
func (l promptLoad) percentile90() time.Duration {
	waits := l.simulate()
	return waits[len(waits)*9/10]
}

// Long prompts that seldom share a prefix keep engines busy with cold reads.
// With gossip delayed by 300 ms, 90 % are read within two cold reads, which is
// half of the tightest target. With a delay of 1.2 s, nodes choose the same
// engines and miss this bound.
func TestColdReadsSpreadWithFreshGossip(t *testing.T) {
	is := is.New(t)
	load := promptLoad{
		nodes: 6, engines: 9, prefixes: 400, perSecond: 8.5, coldReadTime: time.Second, cachedReadTime: 250 * time.Millisecond,
		gossipDelay: 300 * time.Millisecond, hasPrefixIndex: true,
	}
	is.True(load.percentile90() <= 2*load.coldReadTime)
	load.gossipDelay = 1200 * time.Millisecond
	is.True(load.percentile90() > 2*load.coldReadTime)
}

// Prompts that often share a prefix must go to an engine that has read it. With
// a prefix index, 90 % are read within one and a half cold reads. If nodes rely
// on the rendezvous order alone, some engines get more than their share and
// this bound is missed.
func TestSharedPrefixesAreFound(t *testing.T) {
	is := is.New(t)
	load := promptLoad{
		nodes: 24, engines: 15, prefixes: 100, perSecond: 40, coldReadTime: 400 * time.Millisecond, cachedReadTime: 150 * time.Millisecond,
		gossipDelay: 300 * time.Millisecond, hasPrefixIndex: true,
	}
	is.True(load.percentile90() <= load.coldReadTime*3/2)
	load.hasPrefixIndex = false
	is.True(load.percentile90() > load.coldReadTime*3/2)
}
