package fleet

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A call that runs at most once cannot be sent as a repeatable one by writing
// its path in another way.
func TestOtherSpellingsOfOnceCall(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		for _, path := range []string{
			"/%63onfirmations", "/confirmations/", "//confirmations", "/x/../confirmations", "/./confirmations", "/confirmations%23x", "/confirmations#x",
		} {
			got := w.post("entry-1", org, "/v1/services/kirjauspalvelu"+path, `{}`, nil)
			f.check(got.status != http.StatusOK || strings.Contains(path, "%23"), "%s without a key: %+v", path, got)
		}
		for key, n := range w.calls() {
			f.check(key != "" || n <= 1, "%d calls without a key", n)
		}
	})
}

// A caller that does not read its answer loses its place; the replica is not
// taken for failed.
func TestCallerThatDoesNotRead(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{engines: 1})
		defer w.close()
		conn, err := w.net.dial("caller")(context.Background(), "entry-1:callers")
		f.check(err == nil, "dial: %v", err)
		defer conn.Close()
		body := `{"model":"auto","stream":true,"max_tokens":8000,"messages":[{"role":"user","content":"long"}]}`
		_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key-" + org + "\r\nX-Rank: background\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body))
		f.check(err == nil, "write: %v", err)
		w.sleep(2 * time.Second)
		f.check(w.running() == 1, "%d streams run at first", w.running())
		w.sleep(time.Minute)
		f.check(w.running() == 0, "%d streams run after a minute without reading", w.running())
		for _, r := range w.nodes["entry-1"].node.Status().Replicas {
			f.check(r.Usable, "replica %s is taken for failed", r.ID)
		}
	})
}

// A caller that sends its body too slowly is refused.
func TestSlowBody(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		answer := w.raw("entry-1", strings.Replace(chatRequest, "Content-Length: 70", "Content-Length: 100", 1))
		f.check(strings.Contains(answer, `"ran":"no"`), "the answer is %s", answer)
	})
}

// While a node drains it serves on and closes kept-open connections.
func TestDrainClosesConnections(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		before := w.raw("entry-1", chatRequest)
		f.check(!strings.Contains(before, "Connection: close"), "closed before leaving: %s", before)
		leaving := w.nodes["entry-1"].node
		done := make(chan error, 1)
		go func() { done <- leaving.Shutdown(context.Background()) }()
		w.sleep(time.Second)
		during := w.raw("entry-1", chatRequest)
		f.check(strings.HasPrefix(during, "HTTP/1.1 200"), "while draining: %s", during)
		f.check(strings.Contains(during, "Connection: close"), "kept open while draining: %s", during)
		ready := w.raw("entry-1", "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
		f.check(strings.HasPrefix(ready, "HTTP/1.1 503") && strings.HasSuffix(ready, "leaving\n"), "ready while draining: %s", ready)
		live := w.raw("entry-1", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		f.check(strings.HasPrefix(live, "HTTP/1.1 200"), "live while draining: %s", live)
		f.check(<-done == nil, "leave failed")
		delete(w.nodes, "entry-1")
	})
}

// An organisation cannot read what became of another's call.
func TestOutcomesStayApart(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		done := w.post("entry-1", org, confirmPath, `{}`, map[string]string{"Idempotency-Key": "seat-1"})
		f.check(done.status == http.StatusOK, "confirmation: %+v", done)
		ask := "GET /v1/outcomes/kirjauspalvelu/seat-1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key-"
		own := w.raw("entry-2", ask+org+"\r\n\r\n")
		f.check(strings.Contains(own, `"ran":"yes"`), "the own outcome: %s", own)
		other := w.raw("entry-2", ask+"kuorot-ry\r\n\r\n")
		f.check(!strings.Contains(other, `"ran":"yes"`) && !strings.Contains(other, "reply"), "another's outcome: %s", other)
		stranger := w.raw("entry-2", ask+"nobody\r\n\r\n")
		f.check(strings.HasPrefix(stranger, "HTTP/1.1 401"), "a stranger: %s", stranger)
	})
}

const chatRequest = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key-" + org +
	"\r\nContent-Length: 70\r\n\r\n" + `{"model":"auto","max_tokens":5,"messages":[{"role":"a","content":""}]}`

// raw sends one request as bytes and returns the start of the answer.
func (w *world) raw(id, request string) string {
	conn, err := w.net.dial("caller")(context.Background(), id+":callers")
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	w.faults.check(conn.SetDeadline(time.Now().Add(time.Hour)) == nil, "bound the connection")
	if _, err := conn.Write([]byte(request)); err != nil {
		return err.Error()
	}
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	w.faults.check(err == nil, "read: %v", err)
	return string(answer[:n])
}

func itoa(n int) string { return strconv.Itoa(n) }

// running counts the streams that the owners have granted.
func (w *world) running() int {
	n := 0
	for _, id := range w.ids() {
		for _, s := range w.nodes[id].node.Status().Nodes {
			for _, r := range s.State.Replicas {
				if s.State.ID == id {
					n += r.Running
				}
			}
		}
	}
	return n
}
