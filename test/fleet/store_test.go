package fleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// The fleet stays within the store's rate while it works, while the store is
// away, and when it comes back with everything waiting; then all bills are
// stored and calls that may not be repeated run again.
func TestFleetKeepsToTheStoresRate(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{nodes: 6, engines: 6})
		defer w.close()
		chats := 0
		watch := func(what string, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				reads, writes := w.platform.Counts()
				start := time.Now()
				for range 5 {
					at := w.ids()[chats%6]
					a := w.post(at, org, chatPath, chatBody("on and on", 5), map[string]string{"X-Session": fmt.Sprint(chats)})
					f.check(a.status == http.StatusOK, "chat at %s: %+v", at, a)
					chats++
				}
				w.sleep(time.Second)
				r, wr := w.platform.Counts()
				seconds := time.Since(start).Seconds()
				f.check(float64(r-reads) <= seconds*infra.DefaultFleetLimits.Reads, "%s: %d reads in %g s", what, r-reads, seconds)
				f.check(float64(wr-writes) <= seconds*infra.DefaultFleetLimits.Writes, "%s: %d writes in %g s", what, wr-writes, seconds)
			}
		}
		watch("at work", 20*time.Second)
		w.platform.Faults.Set(standin.FaultState{Stopped: true})
		watch("away", 5*time.Minute)
		w.platform.Faults.Set(standin.FaultState{})
		watch("back", time.Minute)
		f.check(len(w.bills()) >= chats*9/10, "%d of %d bills are stored", len(w.bills()), chats)
		w.sleep(30 * time.Second)
		f.check(len(w.bills()) == chats, "%d of %d bills are stored", len(w.bills()), chats)
		a := w.post("entry-1", org, confirmPath, `{}`, map[string]string{"Idempotency-Key": "after"})
		f.check(a.status == http.StatusOK, "confirmation: %+v", a)
	})
}
