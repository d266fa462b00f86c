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

// keptServer adds a server that serves many requests on a connection. Each
// request's number on its connection, from 1, and the request before it are
// given to do.
func (b *bench) keptServer(id string, do func(c net.Conn, r, before *http.Request, number int)) {
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
				var before *http.Request
				for number := 1; ; number++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					do(conn, r, before, number)
					before = r
				}
			}()
		}
	}()
	b.servers = append(b.servers, pool.Server{ID: id, Address: id, Service: "s", DataCentre: "a", Version: "v1", Slots: 8})
	b.pool.Update(b.servers, time.Now())
}

// keptAnswer writes a whole answer to a request and keeps the connection.
func keptAnswer(c net.Conn, r *http.Request) {
	body := "answer to " + r.Header.Get("T-Id")
	if r.URL.Path == "/chat/1" {
		streamHead(c, r, 90)
		chunk(c, "id: 1\ndata: "+body+"\n\n")
		end(c)
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nT-Id: "+r.Header.Get("T-Id")+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// A server sends a second copy of an answer late, when the connection is in use
// again. The next caller gets its own answer.
func TestSecondCopyOfAnAnswerReachesNobody(t *testing.T) {
	for _, path := range []string{"/read/1", "/chat/1", "/once/1"} {
		for _, at := range []string{"while idle", "with the next request"} {
			t.Run(path+" "+at, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is, b := is.New(t), newBench(t)
					var copies atomic.Int32
					serve := func(c net.Conn, r, before *http.Request, _ int) {
						if at == "with the next request" && before != nil {
							copies.Add(1)
							keptAnswer(c, before)
						}
						keptAnswer(c, r)
						if at == "while idle" {
							go func() {
								time.Sleep(100 * time.Millisecond)
								copies.Add(1)
								keptAnswer(c, r)
							}()
						}
					}
					b.keptServer("x", serve)
					b.keptServer("y", serve)
					for i := range 10 {
						id := "r" + strconv.Itoa(i)
						header := map[string]string{"T-Id": id, "T-Model": "named", "T-Tokens": "700,400", "T-Prompt": "a:100,c:600"}
						resp, body, err := b.call(t.Context(), http.MethodPost, path, header)
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
					is.True(copies.Load() > 0 || path == "/once/1") // requests that run once have connections of their own
				})
			})
		}
	}
}
