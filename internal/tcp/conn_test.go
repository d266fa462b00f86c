package tcp

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connect returns both ends of a connection that a dialer has opened.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	client, err = Dialer{Timeout: time.Second}.Dial(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	server, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// Guards against a reset that a write has met first, and that the next read then reports as a
// regular end: an answer without a length would look whole.
func TestResetThatAWriteMetIsNoRegularEnd(t *testing.T) {
	is := is.New(t)
	conn, server := connect(t)
	is.NoErr(server.(*net.TCPConn).SetLinger(0))
	is.NoErr(server.Close())
	time.Sleep(20 * time.Millisecond) // the reset has arrived
	_, err := conn.Write([]byte("rest of the request"))
	is.True(err != nil)
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil && err != io.EOF)
}

// Guards against an answer that ends with its connection and counts as broken off because the
// server no longer reads the rest of the request.
func TestRegularEndBeforeTheRestOfTheRequestStaysOne(t *testing.T) {
	is := is.New(t)
	conn, server := connect(t)
	_, err := server.Write([]byte("answer"))
	is.NoErr(err)
	is.NoErr(server.Close())
	time.Sleep(20 * time.Millisecond)
	for range 3 {
		_, _ = conn.Write([]byte("rest of the request"))
		time.Sleep(5 * time.Millisecond)
	}
	raw, err := io.ReadAll(conn)
	is.Equal(string(raw), "answer")
	is.NoErr(err)
}
