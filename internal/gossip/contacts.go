package gossip

import (
	"slices"
	"sync"
	"time"
)

// contactTimeout is how long after its last answer or question a process counts as a
// contact. Questions follow each other within 400 ms.
const contactTimeout = time.Second

// contact is a process that this one exchanges rows with.
type contact struct {
	lastSeen time.Time // time of its last answer or question
	// listed contacts are reported to other processes, which then leave out the rows that
	// came from them.
	listed bool
	// open is how many questions between the two are open. The contact does not time out
	// meanwhile: a question may wait for one of digestSlots.
	open int
}

// contacts tracks the processes that this one exchanges rows with. Others leave out
// rows that came from a listed contact when they send to this process. Whenever a
// listed contact times out, a digest with each remaining contact makes up for the rows
// left out meanwhile. It is safe for concurrent use.
type contacts struct {
	mu      sync.Mutex
	byEpoch map[uint64]contact // guarded by mu; by epoch
	// digestDue holds the processes with which a digest is to be exchanged.
	digestDue map[uint64]bool // guarded by mu
}

func newContacts() *contacts {
	return &contacts{byEpoch: map[uint64]contact{}, digestDue: map[uint64]bool{}}
}

// record records an exchange with a process. A contact that is no longer listed stays
// listed until it times out, as others were sent its epoch.
func (c *contacts) record(epoch uint64, listed bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, isKnown := c.byEpoch[epoch]
	if isKnown && old.listed && !listed {
		return
	}
	c.byEpoch[epoch] = contact{now, listed, old.open}
}

// begin keeps a contact, if there is one, until the function that it returns is called.
func (c *contacts) begin(epoch uint64) (end func()) {
	if !c.addOpen(epoch, 1) {
		return func() {}
	}
	return func() { c.addOpen(epoch, -1) }
}

// addOpen adds to the open questions of a contact, and reports whether there is one.
func (c *contacts) addOpen(epoch uint64, count int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, ok := c.byEpoch[epoch]
	if ok {
		x.open += count
		c.byEpoch[epoch] = x
	}
	return ok
}

// expireAndList drops contacts that timed out and returns the epochs of the listed
// ones, in order.
func (c *contacts) expireAndList(now time.Time) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for epoch, x := range c.byEpoch {
		if x.open == 0 && now.Sub(x.lastSeen) > contactTimeout {
			c.expire(epoch, x)
		}
	}
	var out []uint64
	for epoch, x := range c.byEpoch {
		if x.listed {
			out = append(out, epoch)
		}
	}
	slices.Sort(out)
	return out
}

// expire drops a contact that timed out. The caller holds mu.
func (c *contacts) expire(epoch uint64, x contact) {
	delete(c.byEpoch, epoch)
	delete(c.digestDue, epoch)
	if !x.listed {
		return
	}
	for other := range c.byEpoch {
		c.digestDue[other] = true
	}
}

// isDigestDue reports whether a digest is to be exchanged with a process.
func (c *contacts) isDigestDue(epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.digestDue[epoch]
}

// recordDigest records that a digest was exchanged.
func (c *contacts) recordDigest(epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.digestDue, epoch)
}
