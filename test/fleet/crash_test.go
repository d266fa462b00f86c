package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/gateway"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

const crashMark = "POISON"

// lost counts the engines that are down.
func (w *world) lost() int {
	n := 0
	for _, e := range w.dialer.engines {
		if e.IsDown() {
			n++
		}
	}
	return n
}

// whole tells whether an answer is byte-equal to the undisturbed one.
func (w *world) whole(a answer, text string, tokens int) bool {
	if a.err != nil || a.status != http.StatusOK {
		return false
	}
	prompt := "user: " + text + "\n"
	t := config.ParseTarget(a.header.Get(gateway.HeaderVersion))
	v := w.config.Models[t.Model].Versions[t.Version]
	want := standin.Answer(t, v.Quality, prompt, gateway.Fingerprint(org, prompt), tokens)
	return strings.Contains(a.body, fmt.Sprintf("%q", want))
}

// innocents sends chats that take a while, to all nodes, and checks that each
// is answered whole.
func (w *world) innocents(n int) *sync.WaitGroup {
	var wg sync.WaitGroup
	ids := w.ids()
	for i := range n {
		wg.Go(func() {
			text := fmt.Sprintf("innocent %d", i)
			a := w.post(ids[i%len(ids)], org, chatPath, chatBody(text, 60), nil)
			w.faults.check(w.whole(a, text, 60), "innocent %d: %+v", i, a)
		})
	}
	return &wg
}

// A request brings down every engine that runs it, and is sent again and
// again to every node, also after all nodes were replaced: two engines are
// lost, it is refused with the reason, and what ran beside it is answered
// whole.
func TestCrashingRequestIsRefused(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{engines: 8, engine: standin.EngineOptions{CrashMark: crashMark, BaseInterval: 30 * time.Millisecond}})
		defer w.close()
		w.peers = true
		running := w.innocents(24)
		w.sleep(300 * time.Millisecond)
		for round := range 3 {
			for _, id := range w.ids() {
				a := w.post(id, org, chatPath, chatBody(crashMark, 20), nil)
				f.check(strings.Contains(a.body, `"code":"crash_suspect"`), "round %d at %s: %+v", round, id, a)
			}
		}
		running.Wait()
		for i, id := range w.ids() {
			w.kill(id)
			w.addNode(fmt.Sprintf("entry-%d", i+4), w.shape.DataCentres[i%3])
			w.sleep(15 * time.Second)
		}
		for _, id := range w.ids() {
			a := w.post(id, org, chatPath, chatBody(crashMark, 20), nil)
			f.check(strings.Contains(a.body, `"code":"crash_suspect"`), "after the nodes were replaced, at %s: %+v", id, a)
		}
		f.check(w.lost() == 2, "%d engines were lost", w.lost())
		w.innocents(12).Wait()
	})
}

// The entry node dies with the first crash, and the caller goes on elsewhere.
func TestCrashingRequestAndDyingNode(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{engines: 6, engine: standin.EngineOptions{CrashMark: crashMark}})
		defer w.close()
		go w.post("entry-1", org, chatPath, chatBody(crashMark, 20), nil)
		w.sleep(time.Millisecond)
		w.kill("entry-1")
		for range 3 {
			for _, id := range w.ids() {
				w.post(id, org, chatPath, chatBody(crashMark, 20), nil)
			}
		}
		f.check(w.lost() <= 3, "%d engines were lost", w.lost())
		w.innocents(12).Wait()
	})
}

// Engines die of themselves, one after another, with many requests on them:
// all are answered whole, none is refused as a suspect.
func TestInnocentsKeepTheirRetry(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{engines: 8, engine: standin.EngineOptions{BaseInterval: 30 * time.Millisecond}})
		defer w.close()
		running := w.innocents(40)
		w.sleep(300 * time.Millisecond)
		most := w.busiest()
		most.Crash()
		running.Wait()
	})
}

// Streams break several times on engines that live, as when a link fails:
// nobody is taken for the culprit of a crash.
func TestBrokenStreamsConvictNobody(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{engines: 8, engine: standin.EngineOptions{BaseInterval: 30 * time.Millisecond}})
		defer w.close()
		running := w.innocents(1)
		broken := map[*standin.Engine]bool{}
		for range 3 {
			w.sleep(300 * time.Millisecond)
			for _, e := range w.dialer.engines {
				if len(e.Runs()) > 0 && !broken[e] {
					e.BreakStreams()
					broken[e] = true
				}
			}
		}
		running.Wait()
		f.check(len(broken) == 3, "%d engines were broken", len(broken))
	})
}

// busiest returns the engine that has run most.
func (w *world) busiest() *standin.Engine {
	var most *standin.Engine
	for _, e := range w.dialer.engines {
		if most == nil || len(e.Runs()) > len(most.Runs()) {
			most = e
		}
	}
	return most
}
