package process

import (
	"syscall"
	"testing"
	"time"
)

// Guards against a confirmation that runs twice: nodes are killed at every stage of
// it, and another node receives the same confirmation at once and later.
func TestKilledNodesConfirmAtMostOnce(t *testing.T) {
	f := startFleet(t, 6, 1, 2)
	offsets := []time.Duration{50, 250, 350, 450, 550}
	for i := range offsets {
		offsets[i] *= time.Millisecond
	}
	attempts := confirmDuringFaults(t, f, offsets, syscall.SIGKILL)
	f.checkAttempts(t, attempts)
}
