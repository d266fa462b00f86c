package permit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rosterTest drives the roster of one node, which is the coordinator of all that it sees.
type rosterTest struct {
	*Roster
	now time.Time
}

func newRosterTest() *rosterTest {
	return &rosterTest{NewRoster("n0", epoch), epoch}
}

// update shows the roster n0 and the given other nodes for some time. Only n0 can be the
// coordinator.
func (r *rosterTest) update(duration time.Duration, isStoreCurrent bool, others ...int) {
	for end := r.now.Add(duration); r.now.Before(end); {
		r.now = r.now.Add(200 * time.Millisecond)
		live := []Node{{Address: "n0", IsEligible: true}}
		for _, i := range others {
			live = append(live, Node{Address: fmt.Sprint("n", i)})
		}
		r.Update(live, isStoreCurrent, r.now)
	}
}

func (r *rosterTest) share() float64 {
	share, _ := r.Share(r.now)
	return share
}

// A node that was frozen grants nothing until it must have heard who took over meanwhile.
func TestFrozenNodeGrantsNothingAtFirst(t *testing.T) {
	is, r := is.New(t), newRosterTest()
	r.update(5*time.Second, true, 1, 2)
	is.Equal(r.share(), 1.0)
	r.now = r.now.Add(4 * time.Second)
	is.Equal(r.share(), 0.0) // before it hears anything
	r.update(200*time.Millisecond, true, 1, 2)
	is.Equal(r.share(), 0.0)
	r.update(takeoverDelay, true, 1, 2)
	is.Equal(r.share(), 1.0)
}

// Guards against a partition that takes over the share of nodes as soon as it becomes the
// larger one: the other one has not noticed yet that it is the smaller one now.
func TestPartitionThatBecomesLargerWaits(t *testing.T) {
	is, r := is.New(t), newRosterTest()
	r.update(8*time.Second, true, 1, 2, 3, 4)
	r.update(30*time.Second, true, 1) // two of five, and the others are silent
	is.Equal(r.share(), 0.0)          // it cannot tell that it runs
	r.ObservePresence([]string{"n0", "n1"}, r.now)
	is.Equal(r.share(), 0.4)
	r.update(time.Second, true, 1, 2)
	is.Equal(r.share(), 0.6) // three of five
	r.ObservePresence([]string{"n0", "n1", "n2"}, r.now)
	r.update(majorityForgetTime+time.Second, true, 1, 2)
	is.Equal(r.share(), 1.0)
}

// A partition that cannot write to the store who belongs to it must cease to grant before
// another one takes over its share. A larger partition may go on for longer.
func TestSilentPartitionCeasesToGrant(t *testing.T) {
	for _, c := range []struct {
		others []int
		share  float64
		limit  time.Duration
	}{{[]int{1}, 0.4, minoritySilenceLimit}, {[]int{1, 2}, 0.6, majoritySilenceLimit}} {
		is, r := is.New(t), newRosterTest()
		r.update(8*time.Second, false, 1, 2, 3, 4)
		r.update(c.limit-time.Second, false, c.others...)
		is.Equal(r.share(), c.share)
		r.update(2*time.Second, false, c.others...)
		is.Equal(r.share(), 0.0)
		r.ObservePresence([]string{"n0"}, r.now)
		is.Equal(r.share(), c.share)
	}
}

// Nodes that join a partition must not enlarge its share: the other one still grants by
// the number of nodes before contact was lost.
func TestNodesThatJoinDoNotEnlargeShare(t *testing.T) {
	is, r := is.New(t), newRosterTest()
	r.update(8*time.Second, true, 1, 2, 3)
	r.update(2*time.Second, true, 1)
	is.Equal(r.share(), 0.5)
	r.update(2*time.Second, true, 1, 7, 8, 9)
	is.Equal(r.share(), 0.5)
	r.update(2*time.Second, true, 1, 2, 3, 7, 8, 9)
	is.Equal(r.share(), 1.0)
}

// A node that starts without contact to nodes that the store or its settings name must
// assume that they run.
func TestStartingNodeLeavesShareToRegisteredNodes(t *testing.T) {
	is, r := is.New(t), newRosterTest()
	r.ObserveRegistered("n1", epoch)
	r.ObserveRegistered("n2", epoch)
	r.update(4*time.Second, true)
	is.Equal(r.share(), 1.0/3)
	is.Equal(r.Known(), 3)
	r.update(time.Second, true, 1, 2)
	is.Equal(r.share(), 1.0)
}
