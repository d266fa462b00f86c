package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// The load of a tenth of the fleet at the design size for some minutes, with a
// tenth of the store's write rate.
const (
	writeNodes        = 34
	writeRequests     = 190 // per second
	atMostOnceDivisor = 20  // one call in this many runs at most once
	writeDuration     = 3 * time.Minute
	warmUpDuration    = time.Minute
	storeDelay        = 10 * time.Millisecond
	peerDelay         = 40 * time.Millisecond
	writeSeed         = 20261204
	otherWrites       = 2  // writes per second of the whole fleet for its rows and leases
	refusedDivisor    = 20 // of the calls that run at most once, one in this many may be refused
)

// writeLoad is the load that a tenth of the fleet put on the store.
type writeLoad struct {
	reads, writes float64 // per second
	calls         int     // that run at most once
	refused       int
	waits         []time.Duration
}

// delayedPeers adds the network delay to another node.
type delayedPeers struct{ successorPeers }

func (d *delayedPeers) CopyBeforeStore(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool) {
	time.Sleep(peerDelay)
	return d.successorPeers.CopyBeforeStore(ctx, session, args)
}

// runLoad simulates the load with one new session in newSession requests, none
// if 0. Unless copyFirst is set, each pin is stored before it is answered.
func runLoad(newSession int, copyFirst bool) *writeLoad {
	out := &writeLoad{}
	services := standin.NewPlatform(standin.PlatformOptions{})
	services.Faults.Set(standin.FaultState{Delay: storeDelay})
	ctx, cancel := context.WithCancel(context.Background())
	var loops, calls sync.WaitGroup
	homes, bills, stores := make([]*Pins, writeNodes), make([]*Bills, writeNodes), make([]*infra.Limited, writeNodes)
	links := make([]*delayedPeers, writeNodes)
	for i := range homes {
		links[i] = &delayedPeers{}
		stores[i] = infra.NewLimited(services, infra.DefaultFleetLimits)
		stores[i].SetNodes(10 * writeNodes)
		homes[i] = NewPins(stores[i], links[i])
		bills[i] = NewBills(stores[i], nil, homes[i])
		loops.Go(func() { bills[i].Run(ctx) })
	}
	for i := range links {
		if copyFirst {
			links[i].next = homes[(i+1)%writeNodes]
		}
	}
	var mu sync.Mutex
	reads, writes := 0, 0
	draw := rand.New(rand.NewPCG(writeSeed, 0))
	for n := range writeRequests * int(writeDuration.Seconds()) {
		home := draw.IntN(writeNodes)
		isWarm := n > writeRequests*int(warmUpDuration.Seconds())
		if !isWarm {
			reads, writes = services.Counts()
		}
		calls.Go(func() {
			if newSession > 0 && n%newSession == 0 {
				began := time.Now()
				homes[home].Decide(ctx, testPinID(n), config.Target{}, v1, v1)
				mu.Lock()
				out.waits = append(out.waits, time.Since(began))
				mu.Unlock()
			}
			if n%atMostOnceDivisor != 1 {
				bills[home].Add(ctx, wire.Bill{Request: fmt.Sprint(n)})
				return
			}
			versions, err := stores[home].Commit(ctx, infra.Op{Key: fmt.Sprint("claim/", n)})
			if err == nil {
				_, err = stores[home].Commit(ctx, infra.Op{Key: fmt.Sprint("claim/", n), Expect: versions[0]})
			}
			mu.Lock()
			defer mu.Unlock()
			out.calls++
			if err != nil {
				out.refused++
			}
		})
		time.Sleep(time.Second / writeRequests)
	}
	r, w := services.Counts()
	span := (writeDuration - warmUpDuration).Seconds()
	out.reads, out.writes = float64(r-reads)/span, float64(w-writes)/span
	calls.Wait()
	cancel()
	loops.Wait()
	slices.Sort(out.waits)
	return out
}

// The writes of the fleet at the design size must stay within its rate at any
// share of requests that begin a session. Few calls that run at most once may be
// refused for it, and no new session may wait for a write. The figures are logged
// for docs/CAPACITY.md.
func TestWritesBySessionRate(t *testing.T) {
	for _, copyFirst := range []bool{true, false} {
		for _, newSession := range []int{0, 30, 10, 5} {
			var got *writeLoad
			synctest.Test(t, func(*testing.T) { got = runLoad(newSession, copyFirst) })
			wait := time.Duration(0)
			if n := len(got.waits); n > 0 {
				wait = got.waits[n*95/100]
			}
			t.Logf("copies %v, one new session in %d requests: %.0f writes and %.0f reads a second of the whole fleet, 95 in 100 wait at most %s, %d of %d calls refused",
				copyFirst, newSession, 10*got.writes, 10*got.reads, wait, got.refused, got.calls)
			if !copyFirst {
				continue
			}
			if bound := infra.DefaultFleetLimits.Writes - otherWrites; 10*got.writes > bound {
				t.Errorf("%.0f writes a second, the bound is %.0f", 10*got.writes, bound)
			}
			if got.refused > got.calls/refusedDivisor {
				t.Errorf("%d of %d calls were refused", got.refused, got.calls)
			}
			if wait > storeDelay+peerDelay {
				t.Errorf("new sessions wait %s, more than one read and one call of a node", wait)
			}
		}
	}
}
