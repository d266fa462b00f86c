package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

const (
	// earlyCalls is how many calls of each kind are made. Without the check more than half
	// of them take the part of the answer for a whole one.
	earlyCalls   = 60
	earlyWorkers = 6
)

// serveEarly starts a server that answers a request before it has read its body, sends a part
// and resets the connection up to 3 ms later.
func serveEarly(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\ndata: {\"attempt\":\"a\",\"offset\":0,\"text\":\"x\"}\n\n")
				time.Sleep(rand.N(3 * time.Millisecond))
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against the part of an answer that counts as the whole one: a server answers a long
// call at once, without a length, and resets the connection while the call is being written.
func TestEarlyAnswerThatIsResetIsBroken(t *testing.T) {
	long := strings.Repeat("x", 6<<20)
	for _, c := range []struct {
		name string
		call func(ctx context.Context, client *httpClient) error
	}{
		{"call", func(ctx context.Context, client *httpClient) error {
			_, err := client.Do(ctx, Call{Method: http.MethodPost, Path: "/", Body: []byte(long)})
			return err
		}},
		{"call that may run once", func(ctx context.Context, client *httpClient) error {
			call := onceCall(http.MethodPost)
			call.Body = []byte(long)
			_, err := client.Do(ctx, call)
			return err
		}},
		{"import", func(ctx context.Context, client *httpClient) error {
			return client.ImportKV(ctx, "a", bytes.Clone([]byte(long)))
		}},
		{"stream", func(ctx context.Context, client *httpClient) error {
			s, err := client.Generate(ctx, GenerateRequest{Attempt: "a", Prompt: long})
			if err != nil {
				return err
			}
			defer s.Close()
			for {
				if f, err := s.Next(); err != nil || f.Final {
					return err
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, client := is.New(t), NewHTTPDialer().client(serveEarly(t))
			var mu sync.Mutex
			var workers sync.WaitGroup
			complete, notRun := 0, 0
			for range earlyWorkers {
				workers.Go(func() {
					for range earlyCalls / earlyWorkers {
						err := c.call(t.Context(), client)
						mu.Lock()
						if err == nil {
							complete++
						} else if asError(err).Ran == outcome.RanNo {
							notRun++
						}
						mu.Unlock()
					}
				})
			}
			workers.Wait()
			is.Equal(complete, 0)
			is.Equal(notRun, 0)
		})
	}
}
