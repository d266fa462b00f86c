package permit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the measured demand.
	demandTime = 2 * time.Second
	// planInterval is how often the fair rates are computed.
	planInterval = 200 * time.Millisecond
	// rankFloor is the share of the permits that less urgent ranks keep while more urgent
	// ones want them all.
	rankFloor = 0.1
	// returnShare is the share of the time left that a caller may wait before it returns.
	returnShare = 1.0 / 3
	// bookedShare is the part of a class's permits that returning callers may have booked.
	bookedShare = 0.8
	// bookingGrace is how long after its time a booking is kept, beside bookingJitter of
	// the wait, by which the times of callers are spread.
	bookingGrace  = 300 * time.Millisecond
	bookingJitter = 0.3
	// minClassRate keeps the retry times of classes with few permits finite.
	minClassRate = 0.02
)

// classKey identifies requests that are served alike: those of one organisation and
// rank.
type classKey struct {
	rank         int
	organisation string
}

// class is the demand and the fair share of the requests of one kind.
type class struct {
	demand float64   // requests within demandTime, decayed
	fair   float64   // requests per second that the class may have
	tokens float64   // unused part of the fair rate, in requests
	at     time.Time // when demand and tokens were computed
	booked time.Time // up to when the class's permits are booked
}

// booking is a permit that a refused caller was promised.
type booking struct {
	key   classKey
	due   time.Time
	until time.Time
}

// contention divides the permits of one service between ranks and organisations while
// more requests want them than there are.
type contention struct {
	classes  map[classKey]*class
	bookings map[uint64]booking // by fingerprint
	planned  time.Time          // when the fair rates were computed
	wanted   float64            // requests per second of all classes
	// contestedUntil is when the last refusal for want of permits counts no more.
	contestedUntil time.Time
	at             time.Time // time of the last request
}

func newContention() *contention {
	return &contention{classes: map[classKey]*class{}, bookings: map[uint64]booking{}}
}

// claim tells how good a request's claim to a permit is.
type claim int

const (
	// claimNone is that of requests whose class has had its share, and of those that
	// another server can take.
	claimNone claim = iota
	// claimShare is that of requests within the share of their class.
	claimShare
	// claimFirst is that of returning callers, and of all requests while there are enough
	// permits.
	claimFirst
)

// reserved holds the part of the saved-up permits that each claim must leave to better
// ones. One permit is always left to callers that return as they were told.
var reserved = [...]float64{claimNone: 1, claimShare: 0.4, claimFirst: 0}

// claim counts a request and returns its claim to a permit. supply is the number of
// permits per second.
func (k *contention) claim(q Request, supply float64, now time.Time) claim {
	k.at = now
	if !q.IsLast {
		if now.Before(k.contestedUntil) {
			return claimNone
		}
		return claimFirst
	}
	c := k.class(q)
	c.decay(now)
	c.demand++
	k.plan(supply, now)
	isContested := now.Before(k.contestedUntil) && (k.wanted > supply || len(k.bookings) > 0)
	switch {
	case !isContested, k.isDue(q.Fingerprint, now):
		return claimFirst
	case c.tokens < float64(1+k.due(classKey{q.Rank, q.Organisation}, now)):
		return claimNone
	}
	return claimShare
}

// class returns the class of a request, new if there was none.
func (k *contention) class(q Request) *class {
	key := classKey{q.Rank, q.Organisation}
	c := k.classes[key]
	if c == nil {
		c = &class{fair: math.Inf(1), tokens: 1}
		k.classes[key] = c
	}
	return c
}

// decay brings demand and tokens up to date.
func (c *class) decay(now time.Time) {
	elapsed := max(now.Sub(c.at), 0).Seconds()
	if c.at.IsZero() {
		elapsed = 0
	}
	c.demand *= math.Exp(-elapsed / demandTime.Seconds())
	if elapsed > 0 {
		c.tokens = min(c.tokens+c.fair*elapsed, max(c.fair*demandTime.Seconds(), 1))
	}
	c.at = now
}

// isDue reports whether a request returns for its booking.
func (k *contention) isDue(fingerprint uint64, now time.Time) bool {
	b, ok := k.bookings[fingerprint]
	return ok && b.isDue(now)
}

func (b booking) isDue(now time.Time) bool { return !now.Before(b.due) && !now.After(b.until) }

// due returns how many bookings of a class wait for their callers.
func (k *contention) due(key classKey, now time.Time) int {
	n := 0
	for _, b := range k.bookings {
		if b.key == key && b.isDue(now) {
			n++
		}
	}
	return n
}

// plan drops bookings whose callers did not return, and computes the rate of each class: the most urgent rank first, but for a floor of
// the others, and within a rank alike for all organisations that want more.
func (k *contention) plan(supply float64, now time.Time) {
	if now.Sub(k.planned) < planInterval {
		return
	}
	k.planned = now
	for fingerprint, b := range k.bookings {
		if now.After(b.until) {
			delete(k.bookings, fingerprint)
		}
	}
	k.wanted = 0
	ranks := map[int][]*class{}
	for key, c := range k.classes {
		c.decay(now)
		if c.demand < 0.01 {
			delete(k.classes, key)
			continue
		}
		ranks[key.rank] = append(ranks[key.rank], c)
		k.wanted += c.demand / demandTime.Seconds()
	}
	remaining := supply
	order := slices.Sorted(maps.Keys(ranks))
	for i, rank := range order {
		available := remaining
		if i < len(order)-1 {
			available = max(remaining-rankFloor*supply, rankFloor*supply)
		}
		remaining = max(remaining-divide(ranks[rank], available), 0)
	}
}

// divide sets the fair rates of the classes of one rank to the same level, except that
// none gets more than it wants, and returns the sum of what they are expected to use.
func divide(classes []*class, available float64) float64 {
	slices.SortFunc(classes, func(a, b *class) int { return cmp.Compare(a.demand, b.demand) })
	used := 0.0
	for i, c := range classes {
		level := max(available-used, 0) / float64(len(classes)-i)
		c.fair = level
		used += min(c.demand/demandTime.Seconds(), level)
	}
	return used
}

// recordGrant counts a granted request.
func (k *contention) recordGrant(q Request, now time.Time) {
	if !q.IsLast {
		return
	}
	if k.isDue(q.Fingerprint, now) {
		delete(k.bookings, q.Fingerprint)
	}
	c := k.class(q)
	c.tokens = max(c.tokens-1, -1)
}

// recordRefusal counts a refused request and returns when its caller may return. The
// permit of that time is booked if the caller has the time to return for it.
func (k *contention) recordRefusal(q Request, next time.Duration, supply float64, now time.Time) time.Duration {
	if !q.IsLast {
		return next
	}
	k.contestedUntil = now.Add(demandTime)
	if b, ok := k.bookings[q.Fingerprint]; ok && now.Before(b.until) {
		// The caller returned early, or its permit went to a more urgent request.
		return max(b.due.Sub(now), next)
	}
	c := k.class(q)
	pace := seconds(1 / (bookedShare * min(max(c.fair, minClassRate), max(supply, minClassRate))))
	due := now.Add(next)
	if c.booked.After(due) {
		due = c.booked
	}
	after := due.Sub(now)
	if (1+bookingJitter)*float64(after) > returnShare*float64(q.TimeLeft) {
		// No permit can be promised in the time that the caller still waits.
		return max(after, q.TimeLeft)
	}
	c.booked = due.Add(pace)
	k.bookings[q.Fingerprint] = booking{classKey{q.Rank, q.Organisation}, due, due.Add(time.Duration(bookingJitter*float64(after)) + bookingGrace)}
	return after
}
