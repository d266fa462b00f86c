package fleet

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Chats run while the store is away for long and the nodes are cut off each
// other; a confirmation is refused at once and says that it did not run.
func TestStoreOutageAndCut(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		for _, id := range w.ids() {
			w.nodes[id].platform.setAway(true)
		}
		w.net.cut("entry-1", "entry-2", true)
		w.sleep(time.Hour)
		for _, id := range w.ids() {
			chat := w.post(id, org, chatPath, chatBody("still there?", 20), nil)
			f.check(chat.status == http.StatusOK, "chat at %s: %+v", id, chat)
		}
		refused := w.post("entry-1", org, confirmPath, `{}`, map[string]string{"Idempotency-Key": "seat-2"})
		f.check(refused.status == http.StatusServiceUnavailable, "confirmation: %+v", refused)
		f.check(strings.Contains(refused.body, `"ran":"no"`), "the refusal says %s", refused.body)
		f.check(w.calls()["seat-2"] == 0, "the refused confirmation ran")
	})
}
