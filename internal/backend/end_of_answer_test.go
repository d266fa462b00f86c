package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a plain answer without a length that looks whole because the process of its
// service has ended, whose connections the kernel closes regularly.
func TestEndOfAServiceIsNotTakenForTheEndOfItsAnswer(t *testing.T) {
	for _, isEnded := range []bool{true, false} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nanswer")
			}
			_ = conn.Close()
			if isEnded {
				_ = l.Close()
			}
		}()
		reply, err := NewHTTPDialer().Service(l.Addr().String()).Do(t.Context(), Call{Method: http.MethodGet, Path: "/"})
		is.Equal(err != nil, isEnded)
		if !isEnded {
			is.Equal(string(reply.Body), "answer")
		}
	}
}
