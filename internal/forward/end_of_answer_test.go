package forward

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

const unframedEvents = 8

// writeUnframed answers with a head that tells no length, and the given events after the last
// one that the request names, or a plain body.
func writeUnframed(c net.Conn, r *http.Request, lastEvent int, plain string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: seal\r\nT-Confidence: 99\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", r.Header.Get("T-Id"))
	if !strings.HasPrefix(r.URL.Path, "/chat/") {
		_, _ = c.Write([]byte(plain))
		return
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= lastEvent; i++ {
		fmt.Fprintf(c, "id: %d\ndata: x\n\n", i)
	}
}

// Guards against an answer without a length that looks whole because the process of its
// server has ended, whose connections the kernel closes regularly.
func TestEndOfAServerIsNotTakenForTheEndOfItsAnswer(t *testing.T) {
	for _, c := range []struct {
		path       string
		wantStatus int
	}{{"/chat/1", http.StatusOK}, {"/read/1", http.StatusOK}, {"/once/1", http.StatusBadGateway}} {
		t.Run(c.path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newHarness(t)
				isFirst := true
				for _, id := range []string{"x", "y"} {
					b.server(id, func(conn net.Conn, r *http.Request) {
						if !isFirst {
							writeUnframed(conn, r, unframedEvents, "whole")
							return
						}
						isFirst = false
						writeUnframed(conn, r, 3, "who")
						_ = conn.Close()
						b.net.mu.Lock()
						defer b.net.mu.Unlock()
						_ = b.net.listeners[id].Close()
					})
				}
				resp, body, err := b.send(t.Context(), http.MethodPost, c.path, chatHeaders)
				is.NoErr(err)
				is.Equal(resp.StatusCode, c.wantStatus)
				switch c.path {
				case "/chat/1":
					is.Equal(strings.Count(body, "id: "), unframedEvents)
				case "/read/1":
					is.Equal(body, "whole")
				}
			})
		})
	}
}

// Guards against answers without a length that are repeated or broken off though their server
// goes on serving, or only accepts no connection at the moment.
func TestAnswerThatEndsWithItsConnectionIsWholeWhileItsServerServes(t *testing.T) {
	for _, isQueueFull := range []bool{false, true} {
		for _, path := range []string{"/chat/1", "/read/1", "/once/1"} {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newHarness(t)
				b.server("x", func(conn net.Conn, r *http.Request) {
					writeUnframed(conn, r, unframedEvents, "whole")
					b.net.setUnresponsive("x", isQueueFull)
				})
				resp, body, err := b.send(t.Context(), http.MethodPost, path, chatHeaders)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.True(body == "whole" || strings.Count(body, "id: ") == unframedEvents)
				is.Equal(len(b.receivedRequests()), 1)
			})
		}
	}
}

// Guards against a cut answer that looks whole because events of its server are read after its
// end: a node that was suspended reads late what the server sent before it crashed.
func TestEventsThatAreReadLateDoNotVouchForTheirServer(t *testing.T) {
	for _, path := range []string{"/chat/1", "/read/1"} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newHarness(t)
			late := make(chan struct{})
			requests := map[string]int{} // by server
			serve := func(id string) func(net.Conn, *http.Request) {
				return func(conn net.Conn, r *http.Request) {
					b.mu.Lock()
					requests[id]++
					n := requests[id]
					b.mu.Unlock()
					switch {
					case id != "x":
						writeUnframed(conn, r, unframedEvents, "whole")
					case n == 1: // its events go on after the listener is gone
						<-late
						writeStreamHeader(conn, r, 99)
						writeEvents(conn, 1, 20, 5*time.Millisecond)
						writeLastChunk(conn)
					default:
						writeUnframed(conn, r, 3, "who")
						b.net.mu.Lock()
						_ = b.net.listeners[id].Close()
						b.net.mu.Unlock()
						close(late)
					}
				}
			}
			b.server("x", serve("x"))
			other := make(chan string, 1)
			go func() {
				_, body, _ := b.send(t.Context(), http.MethodPost, "/chat/2", chatHeaders)
				other <- body
			}()
			time.Sleep(10 * time.Millisecond)
			done := make(chan string, 1)
			go func() {
				_, body, _ := b.send(t.Context(), http.MethodPost, path, chatHeaders)
				done <- body
			}()
			time.Sleep(5 * time.Millisecond)
			b.server("y", serve("y"))
			body := <-done
			is.True(body == "whole" || strings.Count(body, "id: ") == unframedEvents)
			<-other
		})
	}
}

// Guards against a cut answer that looks whole because its server was replaced by another one,
// or another incarnation, that accepts connections at the same address.
func TestServerAtTheSameAddressDoesNotVouchForTheOneBefore(t *testing.T) {
	for _, path := range []string{"/chat/1", "/read/1"} {
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newHarness(t)
			isFirst := true
			b.server("x", func(conn net.Conn, r *http.Request) {
				if !isFirst {
					writeUnframed(conn, r, unframedEvents, "whole")
					return
				}
				isFirst = false
				writeUnframed(conn, r, 3, "who")
				b.servers[0].Started++
				b.pool.Update(b.servers, time.Now())
			})
			_, body, err := b.send(t.Context(), http.MethodPost, path, chatHeaders)
			is.NoErr(err)
			is.True(body == "whole" || strings.Count(body, "id: ") == unframedEvents)
		})
	}
}

// Guards against answers without a length that count as cut because the entry of the server
// that had their server's address before is still listed.
func TestEntryOfAnEndedServerDoesNotBreakAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(conn net.Conn, r *http.Request) { writeUnframed(conn, r, unframedEvents, "whole") })
		b.servers[0].Started = 2
		b.servers = append(b.servers, pool.Server{ID: "before", Address: "x", Service: "s", DataCentre: "a", Draining: true, Started: 1})
		b.pool.Update(b.servers, time.Now())
		_, body, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
		is.NoErr(err)
		is.Equal(body, "whole")
	})
}
