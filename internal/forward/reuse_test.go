package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// keepAliveServer adds a server that serves many requests on one connection. It
// passes each request to handle with the previous request and its number on the
// connection, starting at 1.
func (b *harness) keepAliveServer(id string, handle func(c net.Conn, r, previous *http.Request, number int)) {
	l := b.net.listen(id)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				var previous *http.Request
				for number := 1; ; number++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					handle(conn, r, previous, number)
					previous = r
				}
			}()
		}
	}()
	b.servers = append(b.servers, pool.Server{ID: id, Address: id, Service: "s", DataCentre: "a", Version: "v1", Slots: 8})
	b.pool.Update(b.servers, time.Now())
}

// writeKeepAliveAnswer writes a complete answer and keeps the connection open.
func writeKeepAliveAnswer(c net.Conn, r *http.Request) {
	body := "answer to " + r.Header.Get("T-Id")
	if r.URL.Path == "/chat/1" {
		writeStreamHeader(c, r, 90)
		writeChunk(c, "id: 1\ndata: "+body+"\n\n")
		writeLastChunk(c)
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nT-Id: "+r.Header.Get("T-Id")+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// A server may send a late duplicate of an answer while the connection is idle
// or serves the next request. The next caller must still get its own answer.
func TestDuplicateAnswerReachesNoCaller(t *testing.T) {
	for _, path := range []string{"/read/1", "/chat/1", "/once/1"} {
		for _, timing := range []string{"while idle", "with the next request"} {
			t.Run(path+" "+timing, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is, b := is.New(t), newHarness(t)
					var copies atomic.Int32
					serve := func(c net.Conn, r, previous *http.Request, _ int) {
						if timing == "with the next request" && previous != nil {
							copies.Add(1)
							writeKeepAliveAnswer(c, previous)
						}
						writeKeepAliveAnswer(c, r)
						if timing == "while idle" {
							go func() {
								time.Sleep(100 * time.Millisecond)
								copies.Add(1)
								writeKeepAliveAnswer(c, r)
							}()
						}
					}
					b.keepAliveServer("x", serve)
					b.keepAliveServer("y", serve)
					for i := range 10 {
						id := "r" + strconv.Itoa(i)
						header := map[string]string{"T-Id": id, "T-Model": "named", "T-Tokens": "700,400", "T-Prompt": "a:100,c:600"}
						resp, body, err := b.send(t.Context(), http.MethodPost, path, header)
						is.NoErr(err)
						want := "answer to " + id
						if path == "/chat/1" {
							want = "id: 1\ndata: " + want + "\n\n"
						}
						if resp.StatusCode == http.StatusOK {
							is.Equal(body, want)
							is.Equal(resp.Header.Get("T-Id"), id)
						} else {
							is.True(resp.StatusCode == http.StatusBadGateway)
						}
						time.Sleep(300 * time.Millisecond)
					}
					is.True(copies.Load() > 0 || path == "/once/1") // non-idempotent requests do not share connections
				})
			})
		}
	}
}
