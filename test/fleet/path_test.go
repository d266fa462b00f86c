package fleet

import (
	"net/http"
	"testing"
	"time"
)

// A chat and a confirmation go through; a repeat at another node gives the
// stored outcome; each is billed once.
func TestPath(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		chat := w.post("entry-1", org, chatPath, chatBody("when does the bus leave?", 20), nil)
		f.check(chat.status == http.StatusOK, "chat: %+v", chat)
		key := map[string]string{"Idempotency-Key": "seat-1"}
		first := w.post("entry-1", org, confirmPath, `{}`, key)
		f.check(first.status == http.StatusOK, "confirmation: %+v", first)
		repeat := w.post("entry-2", org, confirmPath, `{}`, key)
		f.check(repeat.body == first.body, "the repeat got %q, the first %q", repeat.body, first.body)
		f.check(w.calls()["seat-1"] == 1, "the confirmation ran %d times", w.calls()["seat-1"])
		w.sleep(5 * time.Second)
		f.check(len(w.bills()) == 2, "%d bills are stored", len(w.bills()))
	})
}
