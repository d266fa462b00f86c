package forward

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that is read whole and ends with a closed connection because
// its caller has closed only the sending side.
func TestCallerThatClosedItsSendingSideGetsARefusal(t *testing.T) {
	is, b := is.New(t), newHarness(t)
	arrived := make(chan struct{}, 1)
	b.server("x", func(net.Conn, *http.Request) {
		arrived <- struct{}{}
		time.Sleep(500 * time.Millisecond)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	front := &http.Server{Handler: b.f}
	go func() { _ = front.Serve(l) }()
	defer front.Close()
	for _, path := range []string{"/once/1", "/read/1", "/chat/1"} {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nT-Id: r1\r\nT-Key: key\r\nT-Left: 15000\r\nContent-Length: 4\r\n\r\nbody", path)
		<-arrived
		is.NoErr(c.(*net.TCPConn).CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err) // the caller gets an answer
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		is.True(!promisesNoRun(resp.StatusCode) && resp.StatusCode >= http.StatusInternalServerError) // a server may have run it
		_ = c.Close()
	}
}

// addSilentAndFull adds three servers. The first that is asked falls silent for two seconds
// after one event, with onFirst called as it begins; the others are full.
func (b *harness) addSilentAndFull(onFirst func(id string)) {
	first := ""
	for _, id := range []string{"x", "y", "z"} {
		b.server(id, func(c net.Conn, r *http.Request) {
			if first == "" {
				first = id
				onFirst(id)
			}
			if first != id {
				writeAnswer(c, r, http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "full")
				return
			}
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			writeStreamHeader(c, r, 90)
			if last == 0 {
				writeEvents(c, 1, 1, 2*time.Second)
			}
			writeEvents(c, max(last+1, 2), 4, 10*time.Millisecond)
			writeLastChunk(c)
		})
	}
}

// Guards against a stream that breaks off because its server was silent for two seconds
// and all other servers are full.
func TestStreamReturnsToItsSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.addSilentAndFull(func(string) {})
		_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(eventIDs(body), "1 2 3 4")
	})
}

// panickingVersions fails on each request.
type panickingVersions struct{ fixedVersions }

func (*panickingVersions) Pick(string, string, time.Time) Choice { panic("bug") }

// Guards against a request whose connection closes without an answer because its
// handler panicked.
func TestPanicIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusOK, "", "ok") })
		b.f.opts.Versions = &panickingVersions{}
		for _, path := range []string{"/once/1", "/read/1", "/chat/1"} {
			resp, _, err := b.send(t.Context(), http.MethodPost, path, chatHeaders)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
		}
		is.Equal(b.f.Running(), 0)
	})
}

// serverFaults are the ways in which a scripted server treats a request.
var serverFaults = []func(net.Conn, *http.Request){
	func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusOK, "", "ok") },
	func(c net.Conn, r *http.Request) {
		writeStreamHeader(c, r, 90)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		writeEvents(c, last+1, 4, 10*time.Millisecond)
		writeLastChunk(c)
	},
	func(c net.Conn, r *http.Request) {
		writeStreamHeader(c, r, 90)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		writeEvents(c, last+1, last+1, 3*time.Second)
		writeEvents(c, last+2, 4, 10*time.Millisecond)
		writeLastChunk(c)
	},
	func(c net.Conn, r *http.Request) {
		writeStreamHeader(c, r, 90)
		writeChunk(c, "id: 1\ndata: x\n\nid: 2\ndata")
	},
	func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\n\r\nid: 1\ndata: x\n\nid: 2", r.Header.Get("T-Id"))
	},
	func(c net.Conn, r *http.Request) {
		writeAnswer(c, r, http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "full")
	},
	func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusServiceUnavailable, "", "failed") },
	func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusInternalServerError, "", "failed") },
	func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusMisdirectedRequest, "", "other") },
	func(c net.Conn, r *http.Request) { _, _ = io.WriteString(c, "HTTP/1.1 200 O") },
	func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nContent-Length: 9\r\n\r\nshort", r.Header.Get("T-Id"))
	},
	func(c net.Conn, r *http.Request) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nT-Id: other\r\nContent-Length: 0\r\n\r\n")
	},
	func(net.Conn, *http.Request) {},
	func(net.Conn, *http.Request) { time.Sleep(time.Minute) },
}

// Guards against exchanges that end in nothing: whatever the servers do, also while the
// configuration changes, the caller reads a whole answer, a refusal, or a stream that
// has begun and visibly breaks off.
func TestEveryExchangeEndsInAnAnswerOrABrokenStream(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b, random := is.New(t), newHarness(t), rand.New(rand.NewPCG(seed, 28))
				for i := range 1 + random.IntN(3) {
					b.server("s"+strconv.Itoa(i), func(c net.Conn, r *http.Request) {
						b.mu.Lock()
						fault := serverFaults[random.IntN(len(serverFaults))]
						b.mu.Unlock()
						fault(c, r)
					})
				}
				stop := make(chan struct{})
				go func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(70 * time.Millisecond):
						}
						// Every other configuration has no routes and no servers.
						b.setTable(n%2 == 0)
					}
				}()
				for i := range 12 {
					path := []string{"/once/1", "/read/1", "/chat/1"}[i%3]
					c, err := b.net.dial(t.Context(), "tcp", "front")
					is.NoErr(err)
					go fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nT-Id: r%d\r\nT-Key: key\r\nT-Left: 4000\r\nT-Model: *\r\nT-Tokens: 700,400\r\nT-Prompt: a:100,b:500\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody", path, i)
					raw, err := io.ReadAll(c)
					is.NoErr(err)
					checkExit(t, path, string(raw))
					_ = c.Close()
				}
				close(stop)
				time.Sleep(2 * time.Minute) // let the servers end
			})
		})
	}
}

// checkExit checks the bytes that a caller has read until its connection closed.
func checkExit(t *testing.T, path, raw string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
	if err != nil {
		t.Fatalf("no answer: %q", raw)
	}
	body, err := io.ReadAll(resp.Body)
	isStream := path == "/chat/1" && resp.StatusCode == http.StatusOK
	switch {
	case !isStream && err != nil:
		t.Errorf("an answer that is no stream is incomplete: %q", raw)
	case isStream && err == nil && eventIDs(string(body)) != "1 2 3 4":
		t.Errorf("an incomplete stream looks complete: %q", raw)
	case resp.StatusCode == http.StatusOK && (len(body) == 0 || string(body) == "short" || strings.HasSuffix(string(body), "data")):
		t.Errorf("part of a server's answer looks complete: %q", raw)
	}
}

// setTable puts a table in force with all routes or with none.
func (b *harness) setTable(hasRoutes bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hasNoRoutes = !hasRoutes
}
