package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// conversation returns a chat with a first message that others share.
func conversation(system, text string) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":20,"messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`, routing.AnyModel, system, text)
}

// Guards against a message that brings down one engine after the other, since all the
// requests that hold it are different; the same callers' other requests are answered.
func TestMessageThatCrashesEnginesIsRefused(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engines: 12, engine: standin.EngineOptions{CrashMark: crashMarker}})
		defer sim.close()
		var last answer
		for i := range 12 {
			for _, id := range sim.nodeIDs() {
				last = sim.post(id, org, chatPath, conversation(crashMarker, fmt.Sprintf("question %d of %s", i, id)), nil)
				a := sim.post(id, org, chatPath, conversation("be brief", fmt.Sprintf("question %d of %s", i, id)), nil)
				f.check(a.err == nil && a.status == http.StatusOK, "sound request %d at %s: %+v", i, id, a)
				sim.sleep(500 * time.Millisecond)
			}
		}
		f.check(strings.Contains(last.body, `"code":"crash_suspect"`), "the last request: %+v", last)
		f.check(sim.crashedEngines() <= 5, "%d engines crashed", sim.crashedEngines())
	})
}
