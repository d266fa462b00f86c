package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// A release that is lost with a short cut does not keep its place for ever:
// the holder sends it again.
func TestLostReleaseGivesThePlaceBack(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{engines: 1, engine: standin.EngineOptions{BaseInterval: 20 * time.Millisecond}})
		defer w.close()
		owner := w.nodes["entry-1"].node.Status().Replicas[0].Owner
		for _, id := range w.ids() {
			if id == owner {
				continue
			}
			done := make(chan answer, 1)
			go func() { done <- w.post(id, org, chatPath, chatBody("a long answer", 200), nil) }()
			w.sleep(1500 * time.Millisecond)
			f.check(w.running() == 1, "the owner counts %d streams", w.running())
			w.net.cut(id, owner, true)
			chat := <-done
			f.check(chat.status == http.StatusOK, "chat during the cut: %+v", chat)
			w.net.cut(id, owner, false)
			w.sleep(time.Minute)
			f.check(w.running() == 0, "a minute after the answer the owner counts %d streams", w.running())
		}
	})
}

// A place whose release was given up on in a long cut comes free: the owner
// asks the holder what it still holds.
func TestPlaceIsReclaimedAfterALongCut(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{engines: 1, engine: standin.EngineOptions{BaseInterval: 20 * time.Millisecond}})
		defer w.close()
		owner := w.nodes["entry-1"].node.Status().Replicas[0].Owner
		id := "entry-1"
		if owner == id {
			id = "entry-2"
		}
		done := make(chan answer, 1)
		go func() { done <- w.post(id, org, chatPath, chatBody("a long answer", 200), nil) }()
		w.sleep(1500 * time.Millisecond)
		w.net.cut(id, owner, true)
		<-done
		w.sleep(50 * time.Second)
		f.check(w.running() == 1, "during the cut the owner counts %d streams", w.running())
		w.net.cut(id, owner, false)
		w.sleep(2 * time.Minute)
		f.check(w.running() == 0, "two minutes after the cut the owner counts %d streams", w.running())
	})
}
