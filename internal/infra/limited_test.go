package infra

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// countingTable counts writes by use and can be made unavailable.
type countingTable struct {
	Services
	mu           sync.Mutex
	isDown       bool
	attemptCount int
	writes       map[Use]int
}

func (c *countingTable) Commit(_ context.Context, ops ...Op) ([]uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attemptCount++
	if c.isDown {
		return nil, ErrUnavailable
	}
	c.writes[UseForKey(ops[0].Key)]++
	return []uint64{1}, nil
}

func (c *countingTable) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, n := range c.writes {
		sum += n
	}
	return sum
}

func (c *countingTable) attempts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attemptCount
}

func (c *countingTable) setDown(isDown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDown = isDown
}

const (
	fleetNodes = 10
	testWrites = 100.0
)

// flood makes each node of a fleet write as fast as it may, for all uses at
// once, until stop is closed.
func flood(table *countingTable, stop <-chan struct{}) {
	for range fleetNodes {
		l := NewLimited(table, FleetLimits{Reads: testWrites, Writes: testWrites})
		l.SetNodes(fleetNodes)
		for _, key := range []string{"claim/a", "bill/a", "other/a"} {
			for range 4 {
				go func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						if _, err := l.Commit(context.Background(), Op{Key: key}); err != nil {
							time.Sleep(10 * time.Millisecond)
						}
					}
				}()
			}
		}
	}
}

// All nodes together must stay under the fleet's rate, also in each second
// after an outage in which many calls were waiting. Claims must have priority.
func TestFleetStaysWithinItsRate(t *testing.T) {
	is := is.New(t)
	table := &countingTable{writes: map[Use]int{}}
	var busiestSecond, callsDuringOutage int
	synctest.Test(t, func(*testing.T) {
		stop := make(chan struct{})
		flood(table, stop)
		time.Sleep(10 * time.Second)
		table.setDown(true)
		before := table.attempts()
		time.Sleep(time.Minute)
		callsDuringOutage = table.attempts() - before
		table.setDown(false)
		for range 60 {
			last := table.total()
			time.Sleep(time.Second)
			busiestSecond = max(busiestSecond, table.total()-last)
		}
		close(stop)
		time.Sleep(time.Minute)
	})
	is.True(busiestSecond <= int(testWrites)+2*fleetNodes) // the rate, and one call in progress for each node
	is.True(callsDuringOutage <= 60*fleetNodes)            // an unavailable store is called rarely
	is.True(table.writes[UseClaim] > table.writes[UseBill])
	is.True(table.writes[UseBackground] <= table.writes[UseBill])
	is.True(table.writes[UseBill] > table.writes[UseClaim]/5) // claims do not starve bills
}

// ErrThrottled must mean that nothing was sent.
func TestThrottledCallWasNotSent(t *testing.T) {
	is := is.New(t)
	table := &countingTable{writes: map[Use]int{}}
	var sent, throttled int
	synctest.Test(t, func(*testing.T) {
		l := NewLimited(table, FleetLimits{Reads: 1, Writes: 1})
		for range 50 {
			_, err := l.Commit(context.Background(), Op{Key: "claim/a"})
			switch {
			case err == nil:
				sent++
			case errors.Is(err, ErrThrottled):
				throttled++
			}
			if throttled > 0 {
				break
			}
		}
	})
	is.Equal(sent, table.total())
	is.True(sent > 0)
}

// Calls that remove expired rows must come after those of claims, whatever rows
// they concern.
func TestBackgroundCallsComeLast(t *testing.T) {
	is := is.New(t)
	table := &countingTable{writes: map[Use]int{}}
	var claims, removals int
	synctest.Test(t, func(*testing.T) {
		l := NewLimited(table, FleetLimits{Reads: 1, Writes: 1})
		for range 100 {
			if _, err := l.Commit(WithLowestPriority(context.Background()), Op{Key: "claim/a", Delete: true}); err == nil {
				removals++
			}
			if _, err := l.Commit(context.Background(), Op{Key: "claim/b"}); err == nil {
				claims++
			}
		}
	})
	is.True(claims > 2*removals)
	is.True(removals > 0)
}
