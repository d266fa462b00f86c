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

// counted is a table that counts writes by use, and can be away.
type counted struct {
	Services
	mu     sync.Mutex
	away   bool
	tried  int
	writes map[Use]int
}

func (c *counted) Commit(_ context.Context, ops ...Op) ([]uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tried++
	if c.away {
		return nil, ErrUnavailable
	}
	c.writes[UseOf(ops[0].Key)]++
	return []uint64{1}, nil
}

func (c *counted) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, n := range c.writes {
		sum += n
	}
	return sum
}

func (c *counted) attempts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tried
}

func (c *counted) setAway(away bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = away
}

const (
	fleetNodes = 10
	testWrites = 100.0
)

// flood lets each node of a fleet write as fast as it may, for all uses at
// once, until stop is closed. It returns how many calls each use was refused.
func flood(table *counted, stop <-chan struct{}) {
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

// All nodes together stay under the fleet's rate, also in every second after
// an outage with everything waiting, and claims come first.
func TestFleetStaysWithinItsRate(t *testing.T) {
	is := is.New(t)
	table := &counted{writes: map[Use]int{}}
	var busiest, during int
	synctest.Test(t, func(*testing.T) {
		stop := make(chan struct{})
		flood(table, stop)
		time.Sleep(10 * time.Second)
		table.setAway(true)
		before := table.attempts()
		time.Sleep(time.Minute)
		during = table.attempts() - before
		table.setAway(false)
		for range 60 {
			last := table.total()
			time.Sleep(time.Second)
			busiest = max(busiest, table.total()-last)
		}
		close(stop)
		time.Sleep(time.Minute)
	})
	is.True(busiest <= int(testWrites)+2*fleetNodes) // the rate, and one call under way for each node
	is.True(during <= 60*fleetNodes)                 // an absent store is asked seldom
	is.True(table.writes[UseClaim] > table.writes[UseBill])
	is.True(table.writes[UseBackground] <= table.writes[UseBill])
	is.True(table.writes[UseBill] > table.writes[UseClaim]/5) // claims do not starve the bills
}

// A call that does not get its turn says that nothing was sent.
func TestThrottledCallWasNotSent(t *testing.T) {
	is := is.New(t)
	table := &counted{writes: map[Use]int{}}
	var sent, refused int
	synctest.Test(t, func(*testing.T) {
		l := NewLimited(table, FleetLimits{Reads: 1, Writes: 1})
		for range 50 {
			_, err := l.Commit(context.Background(), Op{Key: "claim/a"})
			switch {
			case err == nil:
				sent++
			case errors.Is(err, ErrThrottled):
				refused++
			}
			if refused > 0 {
				break
			}
		}
	})
	is.Equal(sent, table.total())
	is.True(sent > 0)
}

// Calls for the removal of old rows come after those of claims, whatever rows
// they touch.
func TestBackgroundCallsComeLast(t *testing.T) {
	is := is.New(t)
	table := &counted{writes: map[Use]int{}}
	var claims, removals int
	synctest.Test(t, func(*testing.T) {
		l := NewLimited(table, FleetLimits{Reads: 1, Writes: 1})
		for range 100 {
			if _, err := l.Commit(Background(context.Background()), Op{Key: "claim/a", Delete: true}); err == nil {
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
