package permit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fullShare lets a coordinator grant the whole limits.
func fullShare(time.Time) (float64, time.Duration) { return 1, 0 }

var epoch = time.Unix(1000, 0)

// demand describes the requests of one rank and organisation in a test.
type demand struct {
	rank         int
	organisation string
	rate         float64
}

// play sends the requests of all demands to servers that all have limits, and returns the
// grants a second by rank and organisation. Refused callers return once, at the time that
// they were told, if it is within a third of the time that they have left.
func play(c *Coordinator, servers []Server, demands []demand, duration time.Duration) map[string]float64 {
	random := rand.New(rand.NewPCG(3, 4))
	granted := map[string]float64{}
	returning := map[time.Time][]Request{}
	const step = 5 * time.Millisecond
	for now := epoch; now.Before(epoch.Add(duration)); now = now.Add(step) {
		send := func(q Request) Reply {
			reply := c.Acquire(q, now)
			if reply.Granted > 0 {
				granted[fmt.Sprint(q.Rank, q.Organisation)] += 1 / duration.Seconds()
			}
			return reply
		}
		for _, q := range returning[now] {
			send(q)
		}
		delete(returning, now)
		for _, d := range demands {
			if random.Float64() > d.rate*step.Seconds() {
				continue
			}
			q := Request{Service: "s", Servers: servers, IsLast: true, Rank: d.rank, Organisation: d.organisation, Fingerprint: random.Uint64(), TimeLeft: 3 * time.Second}
			if reply := send(q); reply.Granted == 0 && reply.RetryAfter <= q.TimeLeft/3 {
				at := now.Add(max(reply.RetryAfter.Round(step), step))
				q.TimeLeft -= reply.RetryAfter
				returning[at] = append(returning[at], q)
			}
		}
	}
	return granted
}

// Permits that are scarce go to the most urgent rank first, but for a floor of the
// others, and within a rank alike to all organisations that want more than they get.
func TestScarcePermitsAreDividedByRankAndOrganisation(t *testing.T) {
	is := is.New(t)
	servers := []Server{{ID: "x", Limit: 6}, {ID: "y", Limit: 4}}
	got := play(NewCoordinator(fullShare), servers, []demand{{0, "a", 4}, {1, "a", 40}, {1, "b", 5}, {1, "c", 1}}, 200*time.Second)
	t.Logf("%.2v", got)
	is.True(got["0a"] > 0.85*4) // nearly all of the most urgent work
	is.True(got["1c"] > 0.7)    // little is wanted, and most of it is had
	is.True(got["1b"] > 0.6*got["1a"])
	total := got["0a"] + got["1a"] + got["1b"] + got["1c"]
	is.True(total > 9.5 && total < 10.1)

	got = play(NewCoordinator(fullShare), servers, []demand{{0, "a", 60}, {1, "b", 60}}, 200*time.Second)
	t.Logf("%.2v", got)
	is.True(got["1b"] > 0.5) // the floor
	is.True(got["0a"] > 7)
}

// Guards against urgent work that finds no permit because many organisations' less urgent
// work takes each one as it comes.
func TestUrgentWorkFindsPermitsBesideManyOrganisations(t *testing.T) {
	is := is.New(t)
	demands := []demand{{0, "a", 5}}
	for i := range 30 {
		demands = append(demands, demand{1, fmt.Sprint("b", i), 1})
	}
	got := play(NewCoordinator(fullShare), []Server{{ID: "x", Limit: 6}, {ID: "y", Limit: 4}}, demands, 200*time.Second)
	t.Logf("%.2f of 5 a second", got["0a"])
	is.True(got["0a"] > 0.85*5)
}

// While another server can take a request, it leaves contested permits to those that have
// no other.
func TestContestedPermitsGoToRequestsWithoutAlternative(t *testing.T) {
	is := is.New(t)
	c := NewCoordinator(fullShare)
	servers := []Server{{ID: "x", Limit: 5}}
	random := rand.New(rand.NewPCG(5, 6))
	granted := map[bool]int{}
	for now := epoch; now.Before(epoch.Add(100 * time.Second)); now = now.Add(5 * time.Millisecond) {
		if random.Float64() < 0.1 {
			isLast := random.IntN(2) == 0
			if c.Acquire(Request{Service: "s", Servers: servers, IsLast: isLast, Organisation: "a", Fingerprint: random.Uint64()}, now).Granted > 0 {
				granted[isLast]++
			}
		}
	}
	t.Log(granted)
	is.True(granted[true] > 4*granted[false])
}

// A coordinator knows nothing of what was sent to a server before it was asked first, or
// before the server started again, so it begins without saved-up permits.
func TestNothingIsSavedUpForUnknownServer(t *testing.T) {
	is := is.New(t)
	c := NewCoordinator(fullShare)
	q := Request{Service: "s", Servers: []Server{{ID: "x", Started: 1, Limit: 2}}, IsLast: true}
	is.Equal(c.Acquire(q, epoch).Granted, 0)
	is.Equal(c.Acquire(q, epoch.Add(600*time.Millisecond)).Granted, 1)
	q.Servers[0].Started = 2
	is.Equal(c.Acquire(q, epoch.Add(10*time.Second)).Granted, 0)
}

// A server that names a limit of 0 gets a request now and then, so that the end of its
// limit is learned.
func TestServerWithoutPermitsIsAskedNowAndThen(t *testing.T) {
	is := is.New(t)
	got := play(NewCoordinator(fullShare), []Server{{ID: "x"}}, []demand{{0, "a", 20}}, 200*time.Second)
	is.True(got["0a"] > 0.05 && got["0a"] <= MinRate)
}

// While a node takes over from another one it refuses, and tells when it will grant.
func TestRefusalDuringTakeoverTellsItsEnd(t *testing.T) {
	is := is.New(t)
	r := NewRoster("a", epoch)
	c := NewCoordinator(r.Share)
	r.Update([]Node{{Address: "a", IsEligible: true}}, true, epoch)
	q := Request{Service: "s", Servers: []Server{{ID: "x", Limit: 2}}, IsLast: true}
	reply := c.Acquire(q, epoch.Add(500*time.Millisecond))
	is.Equal(reply.Granted, 0)
	is.Equal(reply.RetryAfter, takeoverDelay-500*time.Millisecond)
	for at := epoch; at.Before(epoch.Add(10 * time.Second)); at = at.Add(200 * time.Millisecond) {
		r.Update([]Node{{Address: "a", IsEligible: true}}, true, at)
	}
	c.Acquire(q, epoch.Add(9*time.Second))
	is.Equal(c.Acquire(q, epoch.Add(10*time.Second)).Granted, 1)
}

// A coordinator that announces its stop is followed at once, as it grants no more.
func TestStoppedCoordinatorIsFollowedAtOnce(t *testing.T) {
	is := is.New(t)
	nodes := []Node{{Address: "a", IsEligible: true}, {Address: "b", IsEligible: true}}
	rosters := map[string]*Roster{"a": NewRoster("a", epoch), "b": NewRoster("b", epoch)}
	now := epoch
	for range 30 {
		now = now.Add(200 * time.Millisecond)
		for _, r := range rosters {
			r.Update(nodes, true, now)
		}
	}
	first, next := "a", "b"
	if rosters["a"].Coordinator() == "b" {
		first, next = "b", "a"
	}
	share, _ := rosters[first].Share(now)
	is.Equal(share, 1.0)
	rosters[first].Stop()
	for i := range nodes {
		nodes[i].IsStopping = nodes[i].Address == first
	}
	rosters[next].Update(nodes, true, now)
	share, _ = rosters[first].Share(now)
	is.Equal(share, 0.0)
	share, _ = rosters[next].Share(now)
	is.Equal(share, 1.0)
}

// A booking ends with its time: the same request that comes much later, as one that is
// sent often does, has no better claim than others.
func TestBookingEndsWithItsTime(t *testing.T) {
	is := is.New(t)
	k := newContention()
	q := Request{IsLast: true, Fingerprint: 7, TimeLeft: 10 * time.Second}
	k.claim(q, 1, epoch)
	after := k.recordRefusal(q, time.Second, 1, epoch)
	is.Equal(after, time.Second)
	is.True(!k.isDue(7, epoch))
	is.True(k.isDue(7, epoch.Add(after)))
	is.True(!k.isDue(7, epoch.Add(after+time.Second)))
	k.claim(q, 1, epoch.Add(time.Minute))
	is.Equal(len(k.bookings), 0)
}

// Guards against a coordinator that joined a partition of the fleet and does not know of
// the nodes that were lost before: it must leave what those that ask it leave.
func TestCoordinatorLeavesWhatAskingNodesLeave(t *testing.T) {
	is := is.New(t)
	c := NewCoordinator(fullShare)
	granted := 0
	for now := epoch; now.Before(epoch.Add(100 * time.Second)); now = now.Add(20 * time.Millisecond) {
		q := Request{Service: "s", Servers: []Server{{ID: "x", Limit: 10}}}
		if now.UnixMilli()%100 == 0 {
			q.Withheld = 0.75
		}
		if c.Acquire(q, now).Granted > 0 {
			granted++
		}
	}
	is.True(granted <= 250+5)
	is.True(granted >= 200)
	is.Equal(c.Acquire(Request{Service: "s", Servers: []Server{{ID: "x", Limit: 10}}, Withheld: 1}, epoch.Add(101*time.Second)).Granted, 0)
}
