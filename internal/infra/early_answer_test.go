package infra

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serveRaw starts a platform that answers the first request of each connection by calling
// handle, which has the request's head but not yet its body.
func serveRaw(t *testing.T, handle func(*net.TCPConn, *http.Request)) *Client {
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
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					handle(conn.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return NewClient("http://"+l.Addr().String(), 5*time.Second)
}

// Guards against an object that counts as stored though the platform reset the connection
// while the object was being written, after the part of an answer without a length.
func TestObjectIsNotStoredIfItsUploadIsReset(t *testing.T) {
	client, object := serveRaw(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nsto")
		time.Sleep(rand.N(3 * time.Millisecond))
		_ = conn.SetLinger(0)
	}), make([]byte, 6<<20)
	var mu sync.Mutex
	var workers sync.WaitGroup
	stored := 0
	for range 6 {
		workers.Go(func() {
			for range 10 {
				if client.PutObject(t.Context(), "o", object) == nil {
					mu.Lock()
					stored++
					mu.Unlock()
				}
			}
		})
	}
	workers.Wait()
	is.New(t).Equal(stored, 0)
}

// Guards against a status that is no final answer and counts as one of the platform.
func TestOnlyFinalStatusIsAnAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		is := is.New(t)
		client := serveRaw(t, func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
		})
		_, err := client.GetObject(t.Context(), "o")
		is.True(errors.Is(err, ErrUnavailable))
		_, err = client.Commit(t.Context(), Op{Key: "k"})
		is.True(errors.Is(err, ErrUnavailable))
	}
}
