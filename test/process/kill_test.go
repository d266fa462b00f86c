package process

import (
	"syscall"
	"testing"
	"time"
)

// Nodes are killed at every stage of a confirmation; another node gets the
// same confirmation at once and later.
func TestKilledNodesConfirmAtMostOnce(t *testing.T) {
	f := startFleet(t, 6, 1, 2)
	offsets := []time.Duration{50, 250, 350, 450, 550}
	for i := range offsets {
		offsets[i] *= time.Millisecond
	}
	tries := disturbed(t, f, offsets, syscall.SIGKILL)
	f.checkTries(t, tries)
}
