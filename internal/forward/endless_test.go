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

// countingConn counts written bytes and records whether a write failed.
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

// writeEndlessly writes text repeatedly until the peer closes the connection.
func writeEndlessly(c *countingConn, text string, interval time.Duration) {
	for !c.closed.Load() {
		_, _ = c.Write([]byte(text))
		time.Sleep(interval)
	}
}

func writeEndlessChunks(c *countingConn, text string, interval time.Duration) {
	writeEndlessly(c, fmt.Sprintf("%x\r\n%s\r\n", len(text), text), interval)
}

// A faulty server may send bytes forever without a valid answer. Each such
// answer must end within the route's timeout and the memory bound, count
// against the server, and leave the next request intact.
func TestEndlessAnswersAreEnded(t *testing.T) {
	const bound = 9 << 20
	header := func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nT-Id: r1\r\n") }
	stream := func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nT-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n") }
	long := strings.Repeat("x", 16<<10)
	for _, tc := range []struct {
		name  string
		paths string
		write func(*countingConn)
	}{
		{"no answer", "once read chat", func(c *countingConn) { writeEndlessly(c, long, 0) }},
		{"one header line", "once read chat", func(c *countingConn) { header(c); fmt.Fprint(c, "A: "); writeEndlessly(c, long, 0) }},
		{"header lines", "once read chat", func(c *countingConn) { header(c); writeEndlessly(c, "A: "+long+"\r\n", 0) }},
		{"slow header lines", "once read chat", func(c *countingConn) { header(c); writeEndlessly(c, "A: b\r\n", 100*time.Millisecond) }},
		{"informational answers", "once read chat", func(c *countingConn) { writeEndlessly(c, "HTTP/1.1 103 Early Hints\r\nA: "+long+"\r\n\r\n", 0) }},
		{"slow informational answers", "once read chat", func(c *countingConn) { writeEndlessly(c, "HTTP/1.1 100 Continue\r\n\r\n", 100*time.Millisecond) }},
		{"body without length", "once read", func(c *countingConn) { header(c); fmt.Fprint(c, "\r\n"); writeEndlessly(c, long, 0) }},
		{"body in chunks", "once read", func(c *countingConn) { stream(c); writeEndlessChunks(c, long, 0) }},
		{"slow body", "once read", func(c *countingConn) { stream(c); writeEndlessChunks(c, "x", 100*time.Millisecond) }},
		{"chunk extension", "once read chat", func(c *countingConn) { stream(c); fmt.Fprint(c, "1;"); writeEndlessly(c, long, 0) }},
		{"trailer", "once read chat", func(c *countingConn) { stream(c); fmt.Fprint(c, "0\r\n"); writeEndlessly(c, "A: "+long+"\r\n", 0) }},
		{"one event", "chat", func(c *countingConn) { stream(c); writeChunk(c, "id: 1\ndata: "); writeEndlessChunks(c, long, 0) }},
		{"comments", "chat", func(c *countingConn) { stream(c); writeEndlessChunks(c, ": "+long+"\n\n", 0) }},
		{"slow comments", "chat", func(c *countingConn) { stream(c); writeEndlessChunks(c, ":\n\n", 100*time.Millisecond) }},
		{"slow empty events", "chat", func(c *countingConn) { stream(c); writeEndlessChunks(c, "data:\n\n", 100*time.Millisecond) }},
		{"comments after an event", "chat", func(c *countingConn) {
			stream(c)
			writeEvents(c, 1, 1, 0)
			writeEndlessChunks(c, ":\n\n", 100*time.Millisecond)
		}},
	} {
		for path := range strings.FieldsSeq(tc.paths) {
			t.Run(tc.name+" "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is, b := is.New(t), newHarness(t)
					var endless countingConn
					firstServer := b.serveFirstWith(func(c net.Conn, _ *http.Request) {
						endless.Conn = c
						tc.write(&endless)
					})
					began := time.Now()
					resp, body, err := b.send(t.Context(), http.MethodPost, "/"+path+"/1", chatHeaders)
					elapsed := time.Since(began)
					time.Sleep(time.Second)
					is.True(endless.closed.Load()) // the connection was closed
					is.True(endless.bytes.Load() < bound)
					if path == "chat" {
						is.NoErr(err) // the stream was resumed at the other server
						is.Equal(eventIDs(body), "1 2 3 4")
						is.True(elapsed < 10*time.Second) // half of the route's timeout
					} else {
						is.NoErr(err)
						is.True(elapsed <= 1100*time.Millisecond) // the route's timeout
						is.Equal(resp.StatusCode == http.StatusOK, path == "read")
					}
					is.True(!b.pool.Member(firstServer()).IsHealthy())
					resp, body, err = b.send(t.Context(), http.MethodPost, "/once/1", nil)
					is.NoErr(err)
					is.Equal(resp.StatusCode, http.StatusOK)
					is.Equal(body, "ok")
				})
			})
		}
	}
}

// Many long answers at once must stay within the node's memory bound and
// release their bytes afterwards.
func TestConcurrentLongAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(c net.Conn, r *http.Request) {
			if r.URL.Path == "/once/short" {
				writeAnswer(c, r, http.StatusOK, "", "ok")
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
				resp, _, err := b.send(t.Context(), http.MethodPost, "/once/1", nil)
				is.NoErr(err)
				done <- resp.StatusCode
			}()
		}
		time.Sleep(500 * time.Millisecond)
		is.True(b.f.memory.bytesHeld() < 40<<20) // of 140 MB that the server sends
		for range 20 {
			is.True(<-done >= http.StatusInternalServerError)
		}
		synctest.Wait()
		is.Equal(b.f.memory.bytesHeld(), int64(0))
		resp, _, err := b.send(t.Context(), http.MethodPost, "/once/short", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		time.Sleep(time.Minute)
	})
}

// A slow stream with regular content must run to its end, however many comments
// are between its events.
func TestSlowStreamWithCommentsCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		for _, id := range []string{"x", "y"} {
			b.server(id, func(c net.Conn, r *http.Request) {
				writeStreamHeader(c, r, 90)
				for i := range 10 {
					for range 3 {
						writeChunk(c, ": still here\n\n")
						time.Sleep(400 * time.Millisecond)
					}
					writeEvents(c, i+1, i+1, 0)
				}
				writeLastChunk(c)
			})
		}
		_, body, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.True(strings.HasSuffix(eventIDs(body), "1 2 3 4 5 6 7 8 9 10"))
		is.Equal(strings.Count(body, ": still here"), 30)
		is.Equal(len(b.receivedRequests()), 1)
	})
}
