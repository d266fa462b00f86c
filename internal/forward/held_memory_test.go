package forward

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against one faulty server, or one service, that uses up the memory which the answers
// of others need.
func TestHeldMemoryLeavesRoomForOthers(t *testing.T) {
	is, h := is.New(t), newHeldMemory(200<<20)
	const step = 1 << 20
	fill := func(s heldSource) (held int64) {
		for h.tryHold(s, step) {
			held += step
		}
		return held
	}
	one := fill(heldSource{"faulty", "server 1"})
	is.True(one <= h.limit*2/3)
	is.True(fill(heldSource{"faulty", "server 2"}) > 0)
	fill(heldSource{"faulty", "server 3"})
	is.True(h.services["faulty"] <= h.limit*4/5)
	is.True(fill(heldSource{"sound", "server 9"}) >= h.limit/10)
	is.True(h.bytesHeld() <= h.limit)
	h.release(heldSource{"faulty", "server 1"}, one)
	is.True(fill(heldSource{"sound", "server 9"}) > 0)
}
