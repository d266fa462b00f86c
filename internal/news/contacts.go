package news

import (
	"slices"
	"sync"
	"time"
)

// contactLife is how long after its last answer or question a process counts as
// heard; questions follow each other within 400 ms.
const contactLife = time.Second

// contact is a process that this one exchanges news with.
type contact struct {
	at time.Time // of its last answer or question
	// listed contacts are told to others, which then leave out what these told.
	listed bool
}

// contacts are the processes that this one exchanges news with. Others leave out
// what those listed told when they tell it news, so whenever one of these falls
// silent, what was left out meanwhile is made up for by a digest with each of the
// others. It is safe for concurrent use.
type contacts struct {
	mu    sync.Mutex
	heard map[uint64]contact // guarded by mu; by epoch
	// open are the processes with which a digest is to be exchanged.
	open map[uint64]bool // guarded by mu
}

func newContacts() *contacts {
	return &contacts{heard: map[uint64]contact{}, open: map[uint64]bool{}}
}

// note notes an exchange with a process. One that is no longer listed stays so
// until its time is over, as others were told of it.
func (c *contacts) note(epoch uint64, listed bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, known := c.heard[epoch]
	if known && old.listed && !listed {
		return
	}
	c.heard[epoch] = contact{now, listed}
}

// list returns the processes that others may leave to themselves.
func (c *contacts) list(now time.Time) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for epoch, x := range c.heard {
		if now.Sub(x.at) > contactLife {
			c.drop(epoch, x)
		}
	}
	var out []uint64
	for epoch, x := range c.heard {
		if x.listed {
			out = append(out, epoch)
		}
	}
	slices.Sort(out)
	return out
}

// drop forgets a contact that fell silent. The caller holds mu.
func (c *contacts) drop(epoch uint64, x contact) {
	delete(c.heard, epoch)
	delete(c.open, epoch)
	if !x.listed {
		return
	}
	for other := range c.heard {
		c.open[other] = true
	}
}

// isOpen tells whether a digest is to be exchanged with a process.
func (c *contacts) isOpen(epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[epoch]
}

// settled notes that a digest was exchanged.
func (c *contacts) settled(epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, epoch)
}
