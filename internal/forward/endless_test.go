package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// countingConn counts what was written and notes that writing failed.
type countingConn struct {
	net.Conn
	bytes  atomic.Int64
	closed atomic.Bool
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	if err != nil {
		c.closed.Store(true)
	}
	return n, err
}

// endlessly writes a text again and again until the other side closes.
func endlessly(c *countingConn, text string, every time.Duration) {
	for !c.closed.Load() {
		_, _ = c.Write([]byte(text))
		time.Sleep(every)
	}
}

func endlessChunks(c *countingConn, text string, every time.Duration) {
	endlessly(c, fmt.Sprintf("%x\r\n%s\r\n", len(text), text), every)
}

// Servers in trouble send bytes that are no answer until the connection is
// closed. Each such answer ends within its route's time and a bound on memory,
// counts against the server, and leaves the next request unharmed.
func TestAnswersWithoutEndAreEnded(t *testing.T) {
	const bound = 9 << 20
	head := func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nT-Id: r1\r\n") }
	stream := func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nT-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n") }
	long := strings.Repeat("x", 16<<10)
	for _, kind := range []struct {
		name  string
		paths string
		do    func(*countingConn)
	}{
		{"no answer at all", "once read chat", func(c *countingConn) { endlessly(c, long, 0) }},
		{"one line of the head", "once read chat", func(c *countingConn) { head(c); fmt.Fprint(c, "A: "); endlessly(c, long, 0) }},
		{"lines of the head", "once read chat", func(c *countingConn) { head(c); endlessly(c, "A: "+long+"\r\n", 0) }},
		{"head in drips", "once read chat", func(c *countingConn) { head(c); endlessly(c, "A: b\r\n", 100*time.Millisecond) }},
		{"informational answers", "once read chat", func(c *countingConn) { endlessly(c, "HTTP/1.1 103 Early Hints\r\nA: "+long+"\r\n\r\n", 0) }},
		{"informational answers in drips", "once read chat", func(c *countingConn) { endlessly(c, "HTTP/1.1 100 Continue\r\n\r\n", 100*time.Millisecond) }},
		{"body without length", "once read", func(c *countingConn) { head(c); fmt.Fprint(c, "\r\n"); endlessly(c, long, 0) }},
		{"body in chunks", "once read", func(c *countingConn) { stream(c); endlessChunks(c, long, 0) }},
		{"body in drips", "once read", func(c *countingConn) { stream(c); endlessChunks(c, "x", 100*time.Millisecond) }},
		{"chunk extension", "once read chat", func(c *countingConn) { stream(c); fmt.Fprint(c, "1;"); endlessly(c, long, 0) }},
		{"trailer", "once read chat", func(c *countingConn) { stream(c); fmt.Fprint(c, "0\r\n"); endlessly(c, "A: "+long+"\r\n", 0) }},
		{"one event", "chat", func(c *countingConn) { stream(c); chunk(c, "id: 1\ndata: "); endlessChunks(c, long, 0) }},
		{"comments", "chat", func(c *countingConn) { stream(c); endlessChunks(c, ": "+long+"\n\n", 0) }},
		{"comments in drips", "chat", func(c *countingConn) { stream(c); endlessChunks(c, ":\n\n", 100*time.Millisecond) }},
		{"empty events in drips", "chat", func(c *countingConn) { stream(c); endlessChunks(c, "data:\n\n", 100*time.Millisecond) }},
		{"comments after an event", "chat", func(c *countingConn) { stream(c); events(c, 1, 1, 0); endlessChunks(c, ":\n\n", 100*time.Millisecond) }},
	} {
		for path := range strings.FieldsSeq(kind.paths) {
			t.Run(kind.name+" "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is, b := is.New(t), newBench(t)
					var endless countingConn
					first := b.firstSays(func(c net.Conn, _ *http.Request) {
						endless.Conn = c
						kind.do(&endless)
					})
					began := time.Now()
					resp, body, err := b.call(t.Context(), http.MethodPost, "/"+path+"/1", chat)
					took := time.Since(began)
					time.Sleep(time.Second)
					is.True(endless.closed.Load()) // the connection was closed
					is.True(endless.bytes.Load() < bound)
					if path == "chat" {
						is.NoErr(err) // the stream went on elsewhere
						is.Equal(ids(body), "1 2 3 4")
						is.True(took < 10*time.Second) // half of the route's time
					} else {
						is.NoErr(err)
						is.True(took <= 1100*time.Millisecond) // the route's time
						is.Equal(resp.StatusCode == http.StatusOK, path == "read")
					}
					is.True(!b.pool.Member(first()).Healthy())
					resp, body, err = b.call(t.Context(), http.MethodPost, "/once/1", nil)
					is.NoErr(err)
					is.Equal(resp.StatusCode, http.StatusOK)
					is.Equal(body, "ok")
				})
			})
		}
	}
}

// Many long answers at once stay within the node's bound, and their bytes are
// free again afterwards.
func TestLongAnswersAtOnceAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		b.server("x", func(c net.Conn, r *http.Request) {
			if r.URL.Path == "/once/short" {
				answer(c, r, http.StatusOK, "", "ok")
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nT-Id: r1\r\n\r\n")
			for range 7 { // megabytes, within the bound for one answer
				if _, err := c.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
			time.Sleep(time.Minute)
		})
		done := make(chan int)
		for range 20 {
			go func() {
				resp, _, err := b.call(t.Context(), http.MethodPost, "/once/1", nil)
				is.NoErr(err)
				done <- resp.StatusCode
			}()
		}
		time.Sleep(500 * time.Millisecond)
		is.True(b.f.held.Load() < 40<<20) // of 140 MB that the server sends
		for range 20 {
			is.True(<-done >= http.StatusInternalServerError)
		}
		synctest.Wait()
		is.Equal(b.f.held.Load(), int64(0))
		resp, _, err := b.call(t.Context(), http.MethodPost, "/once/short", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		time.Sleep(time.Minute)
	})
}

// A slow stream that brings content now and then goes on to its end, however
// many comments are between its events.
func TestSlowStreamWithCommentsIsSound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newBench(t)
		for _, id := range []string{"x", "y"} {
			b.server(id, func(c net.Conn, r *http.Request) {
				streamHead(c, r, 90)
				for i := range 10 {
					for range 3 {
						chunk(c, ": still here\n\n")
						time.Sleep(400 * time.Millisecond)
					}
					events(c, i+1, i+1, 0)
				}
				end(c)
			})
		}
		_, body, err := b.call(t.Context(), http.MethodPost, "/chat/1", chat)
		is.NoErr(err)
		is.True(strings.HasSuffix(ids(body), "1 2 3 4 5 6 7 8 9 10"))
		is.Equal(strings.Count(body, ": still here"), 30)
		is.Equal(len(b.arrived()), 1)
	})
}
