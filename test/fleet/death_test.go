package fleet

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// While a dead node is not yet taken for dead, the others serve with the
// replicas that have a living owner, also when they are busy: no request is
// refused.
func TestDeathOfAnOwnerRefusesNobody(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{engines: 6, edit: func(c *config.Config) { c.Pools["mallipalvelin"].Slots = 2 }})
		defer w.close()
		w.kill("entry-3")
		var load sync.WaitGroup
		for i := range 100 {
			for j := range 6 {
				id := []string{"entry-1", "entry-2"}[j%2]
				load.Go(func() {
					chat := w.post(id, org, chatPath, chatBody(fmt.Sprintf("after the death %d %d", i, j), 10), nil)
					f.check(chat.status == http.StatusOK, "chat %d at %s: %+v", i, id, chat)
				})
			}
			w.sleep(100 * time.Millisecond)
		}
		load.Wait()
	})
}
