package fleet

import (
	"net/http"
	"testing"
	"time"
)

// A chat and a confirmation succeed, a repeat at another node returns the stored
// outcome, and each is billed once.
func TestChatAndConfirmation(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		chat := sim.post("entry-1", org, chatPath, chatBody("when does the bus leave?", 20), nil)
		f.check(chat.status == http.StatusOK, "chat: %+v", chat)
		key := map[string]string{"Idempotency-Key": "seat-1"}
		first := sim.post("entry-1", org, confirmPath, `{}`, key)
		f.check(first.status == http.StatusOK, "confirmation: %+v", first)
		repeat := sim.post("entry-2", org, confirmPath, `{}`, key)
		f.check(repeat.body == first.body, "the repeat got %q, the first %q", repeat.body, first.body)
		f.check(sim.serviceCalls()["seat-1"] == 1, "the confirmation ran %d times, want 1", sim.serviceCalls()["seat-1"])
		sim.sleep(5 * time.Second)
		f.check(len(sim.storedBills()) == 2, "%d bills are stored, want 2", len(sim.storedBills()))
	})
}
