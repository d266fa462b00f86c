package forward

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// refusals are refusals that promise that a request did not run. ID stands for
// the ID of the request that was refused.
var refusals = []struct{ name, raw string }{
	{"503 empty", "HTTP/1.1 503 X\r\nT-Id: ID\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	{"503 with body", "HTTP/1.1 503 X\r\nT-Id: ID\r\nT-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"},
	{"503 in chunks", "HTTP/1.1 503 X\r\nT-Id: ID\r\nT-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"},
	{"429", "HTTP/1.1 429 X\r\nT-Id: ID\r\nT-Not-Run: 1\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n"},
	{"421", "HTTP/1.1 421 X\r\nT-Id: ID\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	{"400", "HTTP/1.1 400 X\r\nT-Id: ID\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
}

// repeats are the moments at which a server writes a refusal once more.
var repeats = []string{"at once", "while idle", "with the next request"}

// repeatRefusal is a server that refuses its first request, writes the refusal
// once more on the same connection, and runs each further request.
type repeatRefusal struct {
	refusal, when, repeatedID string
	ran                       map[string]int // requests that ran, by ID; not read before the test ends
}

// serve answers one request of a connection.
func (s *repeatRefusal) serve(c net.Conn, r, previous *http.Request, number int) {
	id := r.Header.Get("T-Id")
	write := func(id string) {
		text := strings.ReplaceAll(s.refusal, "T-Id: ID\r\n", "T-Id: "+id+"\r\n")
		if id == "" {
			text = strings.ReplaceAll(s.refusal, "T-Id: ID\r\n", "")
		}
		_, _ = io.WriteString(c, text)
	}
	repeated := s.repeatedID
	switch {
	case number == 1 && len(s.ran) == 0 && s.when == "at once":
		s.ran[id] = 0
		_, _ = io.WriteString(c, strings.Repeat(strings.ReplaceAll(s.refusal, "T-Id: ID", "T-Id: "+id), 2))
	case number == 1 && len(s.ran) == 0:
		s.ran[id] = 0
		write(id)
		if s.when == "while idle" {
			go func() {
				time.Sleep(100 * time.Millisecond)
				write(repeated)
			}()
		}
	default:
		s.ran[id]++
		if s.when == "with the next request" && (number > 1 || s.repeatedID != id) {
			write(repeated)
		}
		writeKeepAliveAnswer(c, r)
	}
}

// Guards against a refusal that a server writes once more: the next request on
// the connection runs, and must be neither answered as not run nor, if it must
// not run twice, sent to a second server.
func TestRepeatedRefusalIsNoPromise(t *testing.T) {
	for _, path := range []string{"/once/1", "/read/1", "/chat/1"} {
		for _, refusal := range refusals {
			for _, when := range repeats {
				for _, repeatedID := range []string{"r0", "earlier", ""} {
					name := path + "/" + refusal.name + "/" + when + "/" + strconv.Quote(repeatedID)
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							is, b := is.New(t), newHarness(t)
							r, _ := b.table.Match("h", path)
							r.MaxAttempts = 1
							server := &repeatRefusal{refusal: refusal.raw, when: when, repeatedID: repeatedID, ran: map[string]int{}}
							b.keepAliveServer("x", server.serve)
							for i := range 4 {
								id := "r" + strconv.Itoa(i)
								resp, body, err := b.send(t.Context(), http.MethodPost, path, map[string]string{"T-Id": id, "T-Model": "named"})
								is.NoErr(err)
								if resp.StatusCode == http.StatusOK {
									is.True(strings.Contains(body, "answer to "+id))
								}
								is.True(server.ran[id] == 0 || !promisesNoRun(resp.StatusCode)) // a request that ran
								is.True(server.ran[id] <= 1)
								time.Sleep(300 * time.Millisecond)
							}
							is.True(server.ran["r3"] == 1)
						})
					})
				}
			}
		}
	}
}

// Guards against a refusal without the request's ID that is taken for a promise:
// the request may have run and must not be sent to a second server.
func TestUnidentifiedRefusalIsNoPromise(t *testing.T) {
	for _, refusal := range refusals {
		for _, header := range []string{"", "T-Id: earlier\r\n", "T-Id:\r\n"} {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newHarness(t)
				b.scriptedServers(raw(strings.ReplaceAll(refusal.raw, "T-Id: ID\r\n", header), false))
				got := b.sendRaw(http.MethodPost, "/once/1", "HTTP/1.1", "")
				is.Equal(got.status, http.StatusBadGateway)
				is.True(got.isWhole)
				is.Equal(len(b.receivedRequests()), 1)
			})
		}
		synctest.Test(t, func(t *testing.T) {
			is, b := is.New(t), newHarness(t)
			b.scriptedServers(raw(refusal.raw, false), func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusOK, "", "ok") })
			got := b.sendRaw(http.MethodPost, "/once/1", "HTTP/1.1", "")
			is.Equal(got.status, http.StatusOK) // an identified refusal is a promise
			is.Equal(got.body, "ok")
			is.Equal(len(b.receivedRequests()), 2)
		})
	}
}

// Guards against the copy of a request's own refusal: sent once more to the server
// that refused it, the request runs and must not be answered as not run.
func TestRefusalIsNotRepeatedForTheSameRequest(t *testing.T) {
	for _, path := range []string{"/once/1", "/read/1", "/chat/1"} {
		for _, refusal := range refusals {
			for _, when := range repeats {
				t.Run(path+"/"+refusal.name+"/"+when, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is, b := is.New(t), newHarness(t)
						server := &repeatRefusal{refusal: refusal.raw, when: when, repeatedID: "r1", ran: map[string]int{}}
						b.keepAliveServer("x", server.serve)
						resp, body, err := b.send(t.Context(), http.MethodPost, path, map[string]string{"T-Model": "named"})
						is.NoErr(err)
						is.Equal(resp.StatusCode, http.StatusOK)
						is.True(strings.Contains(body, "answer to r1"))
						is.Equal(server.ran["r1"], 1)
					})
				})
			}
		}
	}
}
