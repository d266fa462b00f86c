//go:build review

package harness

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// streamServer is a stand-in of a sound backend server that answers with a stream of events
// that has neither a length nor chunks and ends with its connection. Its queue of new
// connections is short: one that is not taken yet fills it.
type streamServer struct {
	id, address string
	record      *record
	listener    net.Listener
	events      int
	pause       time.Duration
}

// listenWithQueueOfOne listens on a free port with the shortest queue of new connections.
func listenWithQueueOfOne() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	return net.FileListener(f)
}

func newStreamServer(rec *record, id string, events int, pause time.Duration) *streamServer {
	l, err := listenWithQueueOfOne()
	check(err)
	return &streamServer{id: id, address: l.Addr().String(), record: rec, listener: l, events: events, pause: pause}
}

// accept takes the connections in the queue and all later ones.
func (s *streamServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// streamBody is the body of the whole stream.
func (s *streamServer) event(id string, i int) string {
	return fmt.Sprintf("id: %d\ndata: part %d of %s by %s\n\n", i, i, id, s.id)
}

// serve answers one request on a connection.
func (s *streamServer) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a connection without a request, such as a probe
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(headerID)
	if expected := r.Header.Get(headerInstance); expected != "" && expected != s.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", headerID, id)
		return
	}
	s.record.add("run      %s %s %s at %s from %s, Last-Event-Id %q", id, r.Method, r.URL.Path, s.id, conn.RemoteAddr(), r.Header.Get("Last-Event-Id"))
	first := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
	sum := sha256.Sum256([]byte(id + s.id))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n", headerID, id, headerSeal, hex.EncodeToString(sum[:8]))
	for i := first + 1; i <= s.events; i++ {
		if _, err := io.WriteString(conn, s.event(id, i)); err != nil {
			s.record.add("cut      %s at %s after event %d: %v", id, s.id, i-1, err)
			return
		}
		s.record.add("event    %s %d of %d at %s", id, i, s.events, s.id)
		time.Sleep(s.pause)
	}
	s.record.add("end      %s at %s, all %d events", id, s.id, s.events)
}
