package fleet

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A call that may run at most once can't be sent as a repeatable call by another
// spelling of its path.
func TestPathSpellingDoesNotBypassAtMostOnce(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		for _, path := range []string{
			"/%63onfirmations", "/confirmations/", "//confirmations", "/x/../confirmations", "/./confirmations", "/confirmations%23x", "/confirmations#x",
		} {
			got := sim.post("entry-1", org, "/v1/services/kirjauspalvelu"+path, `{}`, nil)
			f.check(got.status != http.StatusOK || strings.Contains(path, "%23"), "%s without a key: %+v", path, got)
		}
		for key, n := range sim.serviceCalls() {
			f.check(key != "" || n <= 1, "%d calls without a key", n)
		}
	})
}

// A caller that does not read its answer loses its slot, and the replica is not marked
// as failed.
func TestCallerThatDoesNotReadLosesItsSlot(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engines: 1})
		defer sim.close()
		conn, err := sim.net.dial("caller")(context.Background(), "entry-1:callers")
		f.check(err == nil, "dial: %v", err)
		defer conn.Close()
		body := `{"model":"auto","stream":true,"max_tokens":8000,"messages":[{"role":"user","content":"long"}]}`
		_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key-" + org + "\r\nX-Rank: background\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body))
		f.check(err == nil, "write: %v", err)
		sim.sleep(2 * time.Second)
		f.check(sim.runningStreams() == 1, "%d streams run at first, want 1", sim.runningStreams())
		sim.sleep(time.Minute)
		f.check(sim.runningStreams() == 0, "%d streams run after a minute without reading", sim.runningStreams())
		for _, r := range sim.nodes["entry-1"].node.Status().Replicas {
			f.check(r.Usable, "replica %s is marked as failed", r.ID)
		}
	})
}

// A caller that sends its request body too slowly is refused.
func TestSlowBodyIsRefused(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		response := sim.sendRaw("entry-1", strings.Replace(chatRequest, "Content-Length: 70", "Content-Length: 100", 1))
		f.check(strings.Contains(response, `"ran":"no"`), "the response is %s", response)
	})
}

// A node that shuts down goes on serving and closes keep-alive connections.
func TestDrainClosesConnections(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		before := sim.sendRaw("entry-1", chatRequest)
		f.check(!strings.Contains(before, "Connection: close"), "connection closed before the shutdown: %s", before)
		stopping := sim.nodes["entry-1"].node
		done := make(chan error, 1)
		go func() { done <- stopping.Shutdown(context.Background()) }()
		sim.sleep(time.Second)
		during := sim.sendRaw("entry-1", chatRequest)
		f.check(strings.HasPrefix(during, "HTTP/1.1 200"), "response while shutting down: %s", during)
		f.check(strings.Contains(during, "Connection: close"), "connection kept open while shutting down: %s", during)
		ready := sim.sendRaw("entry-1", "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
		f.check(strings.HasPrefix(ready, "HTTP/1.1 503") && strings.HasSuffix(ready, "leaving\n"), "readiness while shutting down: %s", ready)
		live := sim.sendRaw("entry-1", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		f.check(strings.HasPrefix(live, "HTTP/1.1 200"), "liveness while shutting down: %s", live)
		f.check(<-done == nil, "the shutdown failed")
		delete(sim.nodes, "entry-1")
	})
}

// An organisation can't read the outcome of another organisation's call.
func TestOutcomesAreHiddenFromOtherOrganisations(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		done := sim.post("entry-1", org, confirmPath, `{}`, map[string]string{"Idempotency-Key": "seat-1"})
		f.check(done.status == http.StatusOK, "confirmation: %+v", done)
		request := "GET /v1/outcomes/kirjauspalvelu/seat-1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key-"
		own := sim.sendRaw("entry-2", request+org+"\r\n\r\n")
		f.check(strings.Contains(own, `"ran":"yes"`), "outcome for the own organisation: %s", own)
		other := sim.sendRaw("entry-2", request+"kuorot-ry\r\n\r\n")
		f.check(!strings.Contains(other, `"ran":"yes"`) && !strings.Contains(other, "reply"), "outcome for another organisation: %s", other)
		unauthenticated := sim.sendRaw("entry-2", request+"nobody\r\n\r\n")
		f.check(strings.HasPrefix(unauthenticated, "HTTP/1.1 401"), "outcome without a valid key: %s", unauthenticated)
	})
}

const chatRequest = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key-" + org +
	"\r\nContent-Length: 70\r\n\r\n" + `{"model":"auto","max_tokens":5,"messages":[{"role":"a","content":""}]}`

// sendRaw sends the bytes of one request and returns the start of the response.
func (sim *simulation) sendRaw(id, request string) string {
	conn, err := sim.net.dial("caller")(context.Background(), id+":callers")
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	sim.failures.check(conn.SetDeadline(time.Now().Add(time.Hour)) == nil, "set the connection's deadline")
	if _, err := conn.Write([]byte(request)); err != nil {
		return err.Error()
	}
	response := make([]byte, 4096)
	n, err := conn.Read(response)
	sim.failures.check(err == nil, "read: %v", err)
	return string(response[:n])
}

func itoa(n int) string { return strconv.Itoa(n) }

// runningStreams returns the number of streams that the owners have granted.
func (sim *simulation) runningStreams() int {
	n := 0
	for _, id := range sim.nodeIDs() {
		for _, s := range sim.nodes[id].node.Status().Nodes {
			for _, r := range s.State.Replicas {
				if s.State.ID == id {
					n += r.Running
				}
			}
		}
	}
	return n
}
