package permit

import (
	"slices"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/routing"
)

const (
	// takeoverDelay is how long a node must have been the coordinator before it grants
	// permits. Nodes notice a loss within this time of each other, so the node that
	// granted before has ceased, or has reduced its share.
	takeoverDelay = 2 * time.Second
	// convergenceTime is how long a node that starts takes to meet the others.
	convergenceTime = 6 * time.Second
	// maxStall is the pause between two updates from which the node must have been
	// frozen, and may have missed that others took over.
	maxStall = time.Second
	// retryInterval is when to ask again at a node that is not the coordinator,
	// presenceRetryInterval when the coordinator has no share.
	retryInterval         = 300 * time.Millisecond
	presenceRetryInterval = 2 * time.Second
	// forgottenTTL is how long a forgotten node is remembered as such.
	forgottenTTL = 10 * time.Minute
)

// Times that apply to nodes that lost contact without an announced stop. Such nodes may
// be dead, or cut off and still granting their part. The store tells the difference: as
// long as a partition of the fleet reaches it, it writes there who belongs to it.
//
// silenceLimit is how long a partition of the fleet that cannot write there still grants its
// share. forgetTime is how long another partition, with the store in reach, must have found
// no sign of it before it takes over that share. A partition with more than half of the
// nodes may be silent for longer, since the smaller partitions wait longer for it.
const (
	majoritySilenceLimit = 30 * time.Second
	majorityForgetTime   = 10 * time.Second
	minoritySilenceLimit = 6 * time.Second
	minorityForgetTime   = 40 * time.Second
)

// Node is a live node of the fleet.
type Node struct {
	Address string
	// IsStopping nodes grant no more permits.
	IsStopping bool
	// IsEligible nodes can be the coordinator.
	IsEligible bool
}

// rosterEntry is what is known of one node.
type rosterEntry struct {
	joinedAt   time.Time
	seenAt     time.Time // when the node was last live
	isStopping bool
	// missingSince is when contact was lost; zero for live nodes.
	missingSince time.Time
	// namedAt is when a partition of the fleet last wrote to the store that the node belongs
	// to it.
	namedAt time.Time
	// isForgotten marks a missing node that counts as dead.
	isForgotten bool
}

// Roster tracks which nodes may be granting permits: the live ones, and the missing ones
// that may only be cut off. It is safe for concurrent use.
type Roster struct {
	self      string
	startedAt time.Time
	mu        sync.Mutex
	entries   map[string]*rosterEntry // guarded by mu; by address
	updatedAt time.Time               // guarded by mu
	// coordinator is the address of the node that grants permits in this node's view.
	coordinator string   // guarded by mu
	eligible    []string // guarded by mu; the nodes that it was chosen from
	// activeFrom is when this node may begin to grant, if it is the coordinator.
	activeFrom time.Time // guarded by mu
	// isStopped is set once this node announces its stop.
	isStopped bool // guarded by mu
	// currentSince is since when the store's state was current all the time; zero if it
	// is not.
	currentSince time.Time // guarded by mu
	// majoritySince is since when this partition has had more than half of the
	// nodes all the time; zero if it has not.
	majoritySince time.Time // guarded by mu
}

// NewRoster returns a roster of a node that starts and knows no other.
func NewRoster(self string, now time.Time) *Roster {
	r := &Roster{self: self, startedAt: now, updatedAt: now, entries: map[string]*rosterEntry{self: {joinedAt: now}}}
	r.activeFrom = now.Add(takeoverDelay)
	return r
}

// Update sets the live nodes. isStoreCurrent tells whether this partition
// follows the store without delay. Update is called several times within maxStall.
func (r *Roster) Update(live []Node, isStoreCurrent bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hasStalled := now.Sub(r.updatedAt) > maxStall
	r.updatedAt = now
	if !isStoreCurrent || hasStalled {
		r.currentSince = time.Time{}
	} else if r.currentSince.IsZero() {
		r.currentSince = now
	}
	wasStopping := r.entries[r.coordinator] != nil && r.entries[r.coordinator].isStopping
	eligible := make([]string, 0, len(live))
	for _, n := range live {
		r.markLive(n, now)
		if n.IsEligible && !n.IsStopping {
			eligible = append(eligible, n.Address)
		}
		wasStopping = wasStopping || n.Address == r.coordinator && n.IsStopping
	}
	r.markMissing(now)
	coordinator := r.coordinator
	if !slices.Equal(eligible, r.eligible) {
		r.eligible = eligible
		coordinator = routing.HighestScoring(eligible, "permits")
	}
	switch {
	case hasStalled:
		r.activeFrom = now.Add(takeoverDelay)
	case coordinator != r.coordinator && wasStopping && r.coordinator != r.self:
		// The coordinator announced that it grants no more.
		r.activeFrom = now
	case coordinator != r.coordinator:
		r.activeFrom = now.Add(takeoverDelay)
	}
	if early := r.startedAt.Add(takeoverDelay); r.activeFrom.Before(early) {
		r.activeFrom = early
	}
	r.coordinator = coordinator
}

// markLive records a live node. The caller holds mu.
func (r *Roster) markLive(n Node, now time.Time) {
	e := r.entries[n.Address]
	if e == nil {
		e = &rosterEntry{joinedAt: now}
		r.entries[n.Address] = e
	}
	e.isStopping, e.missingSince, e.isForgotten, e.seenAt = n.IsStopping, time.Time{}, false, now
}

// markMissing updates the nodes that are not live. The caller holds mu.
func (r *Roster) markMissing(now time.Time) {
	hasMissing := false
	for address, e := range r.entries {
		switch {
		case e.seenAt.Equal(now):
			continue
		case e.isStopping:
			delete(r.entries, address)
		case e.missingSince.IsZero():
			e.missingSince = now
		case e.isForgotten && now.Sub(e.missingSince) > forgottenTTL:
			delete(r.entries, address)
		}
		hasMissing = hasMissing || !e.isForgotten
	}
	if _, isMajority := r.shareLocked(); !isMajority {
		r.majoritySince = time.Time{}
	} else if r.majoritySince.IsZero() {
		r.majoritySince = now
	}
	if !hasMissing || r.currentSince.IsZero() {
		return
	}
	for _, e := range r.entries {
		if e.missingSince.IsZero() || e.isForgotten {
			continue
		}
		silentSince := latest(e.missingSince, e.namedAt, r.currentSince)
		// The partition that was larger before must have noticed that it is not any more.
		isSilentForMajority := !r.majoritySince.IsZero() && now.Sub(latest(silentSince, r.majoritySince)) > majorityForgetTime
		e.isForgotten = isSilentForMajority || now.Sub(silentSince) > minorityForgetTime
	}
}

func latest(times ...time.Time) time.Time {
	var out time.Time
	for _, t := range times {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// ObservePresence records that a partition of the fleet wrote to the store which nodes belong
// to it.
func (r *Roster) ObservePresence(nodes []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range nodes {
		e := r.entries[address]
		if e == nil {
			e = &rosterEntry{joinedAt: now, missingSince: now}
			r.entries[address] = e
		}
		e.namedAt = now
		if e.isForgotten {
			e.isForgotten, e.missingSince = false, now
		}
	}
}

// ObserveRegistered records a node that the store lists. A node that starts without
// contact to it must assume that it runs.
func (r *Roster) ObserveRegistered(address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[address] == nil {
		r.entries[address] = &rosterEntry{joinedAt: now, missingSince: now}
	}
}

// Stop ends all grants of this node, before it announces its stop to the others.
func (r *Roster) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isStopped = true
}

// Coordinator returns the address of the node that grants permits, or "".
func (r *Roster) Coordinator() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordinator
}

// Share returns the part of each limit that this node may grant as the coordinator. If it
// may grant none, the second result is when to ask again.
func (r *Roster) Share(now time.Time) (float64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.isStopped || r.coordinator != r.self || now.Sub(r.updatedAt) > maxStall:
		return 0, retryInterval
	case now.Before(r.activeFrom):
		return 0, r.activeFrom.Sub(now)
	}
	return r.partitionShare(now)
}

// PartitionShare returns the part of each limit that all nodes which this node sees live may
// grant together. If they may grant none, the second result is when to ask again.
func (r *Roster) PartitionShare(now time.Time) (float64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.updatedAt) > maxStall {
		return 0, retryInterval
	}
	return r.partitionShare(now)
}

// Withheld returns the part of the limits that this node leaves to nodes which may be cut
// off.
func (r *Roster) Withheld(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	share, _ := r.partitionShare(now)
	return 1 - share
}

// partitionShare is PartitionShare for callers that hold mu.
func (r *Roster) partitionShare(now time.Time) (float64, time.Duration) {
	share, isMajority := r.shareLocked()
	if share == 1 {
		return 1, 0
	}
	limit := minoritySilenceLimit
	if isMajority {
		limit = majoritySilenceLimit
	}
	named := time.Time{}
	if e := r.entries[r.self]; e != nil {
		named = e.namedAt
	}
	if share == 0 || now.Sub(latest(r.firstMissing(), named)) > limit {
		return 0, presenceRetryInterval
	}
	return share, 0
}

// shareLocked returns the share of this partition, by the number of nodes before
// contact was lost, and whether it has more than half of them. The caller holds mu.
func (r *Roster) shareLocked() (share float64, isMajority bool) {
	first, members, missing := r.firstMissing(), 0, 0
	for _, e := range r.entries {
		switch {
		case e.isForgotten:
		case !e.missingSince.IsZero():
			missing++
		case first.IsZero(), !e.joinedAt.After(first), e.joinedAt.Before(r.startedAt.Add(convergenceTime)):
			members++
		}
	}
	if missing == 0 {
		return 1, true
	}
	return float64(members) / float64(members+missing), members > missing
}

// firstMissing returns when the first of the missing nodes was lost, or zero. The caller
// holds mu.
func (r *Roster) firstMissing() time.Time {
	var first time.Time
	for _, e := range r.entries {
		if !e.isForgotten && !e.missingSince.IsZero() && (first.IsZero() || e.missingSince.Before(first)) {
			first = e.missingSince
		}
	}
	return first
}

// Known returns the number of nodes that may be running: the live and the missing ones.
func (r *Roster) Known() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.entries {
		if !e.isForgotten {
			n++
		}
	}
	return n
}

// Missing returns the number of nodes that lost contact and may still be running.
func (r *Roster) Missing() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.entries {
		if !e.isForgotten && !e.missingSince.IsZero() {
			n++
		}
	}
	return n
}

// Live returns the addresses of the live nodes.
func (r *Roster) Live() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for address, e := range r.entries {
		if e.missingSince.IsZero() {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}
