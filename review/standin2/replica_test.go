//go:build review2

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in of a backend server, run as a process of its own.
type replica struct {
	id  string
	log *os.File
	// events and pause shape the answers of streams: how many events, and the time between two.
	events int
	pause  time.Duration
	// unframed answers carry neither a length nor chunks and end with their connection.
	unframed bool
	// failEach makes each n-th request end in the replica's own 500, and breakFailures breaks
	// these answers off within their body, breakMost of all answers at most.
	failEach      int64
	breakFailures bool
	breakMost     float64
	answers       atomic.Int64
	broken        atomic.Int64
	mu            sync.Mutex
}

// runReplica serves until the process is ended. It takes its options as key=value.
func runReplica(args []string) error {
	r := &replica{events: 13, pause: 25 * time.Millisecond}
	address := ""
	for _, a := range args {
		key, value, _ := strings.Cut(a, "=")
		n, _ := strconv.Atoi(value)
		switch key {
		case "id":
			r.id = value
		case "address":
			address = value
		case "log":
			f, err := os.OpenFile(value, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
			if err != nil {
				return err
			}
			r.log = f
		case "events":
			r.events = n
		case "pause_ms":
			r.pause = time.Duration(n) * time.Millisecond
		case "unframed":
			r.unframed = value == "true"
		case "fail_each":
			r.failEach = int64(n)
		case "break_failures":
			r.breakFailures = value == "true"
		case "break_most":
			r.breakMost, _ = strconv.ParseFloat(value, 64)
		default:
			return fmt.Errorf("unknown option %s", a)
		}
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go r.serve(c)
	}
}

// record writes a line to the replica's log.
func (r *replica) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.log, "%d %s %s\n", time.Now().UnixMilli(), r.id, fmt.Sprintf(format, args...))
}

// serve answers the requests of one connection, one at a time.
func (r *replica) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !r.answer(c, q) || q.Close {
			return
		}
	}
}

// answer answers one request. It returns false if the connection has ended.
func (r *replica) answer(c net.Conn, q *http.Request) bool {
	id := q.Header.Get("X-Cowslipfall-Attempt-Id")
	head := "X-Cowslipfall-Attempt-Id: " + id + "\r\nX-Cowslipfall-Instance-Id: " + r.id + "\r\n"
	if want := q.Header.Get("X-Cowslipfall-Expect-Instance"); want != "" && want != r.id {
		return write(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
	}
	if q.Method == http.MethodGet && q.URL.Path == "/healthz" {
		return write(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 0\r\n\r\n")
	}
	r.record("run %s %s %s", id, q.Method, q.RequestURI)
	n := r.answers.Add(1)
	seal := "X-Cowslipfall-Response-Seal: " + seal(id) + "\r\n"
	if r.failEach > 0 && n%r.failEach == 0 {
		time.Sleep(20 * time.Millisecond)
		const body = `{"error":"the engine failed on this request"}`
		text := fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\n%s%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, seal, len(body), body)
		if r.breakFailures && float64(r.broken.Load()+1) <= r.breakMost*float64(n) {
			r.broken.Add(1)
			r.record("broke %s its own 500 after a part of the body", id)
			write(c, text[:len(text)-len(body)/2])
			return false
		}
		r.record("failed %s with its own 500", id)
		return write(c, text)
	}
	if strings.HasPrefix(q.URL.Path, "/plain/") || strings.HasPrefix(q.URL.Path, "//plain/") {
		return r.answerPlain(c, id, head+seal)
	}
	return r.answerStream(c, q, id, head+seal)
}

// plainParts is the number of parts in which a plain answer is written.
const plainParts = 8

// plainPart returns one part of a plain answer.
func plainPart(id string, n int) string { return fmt.Sprintf("%s part %d of %d\n", id, n, plainParts) }

// answerPlain writes an answer in several parts.
func (r *replica) answerPlain(c net.Conn, id, head string) bool {
	length := ""
	if !r.unframed {
		total := 0
		for i := 1; i <= plainParts; i++ {
			total += len(plainPart(id, i))
		}
		length = fmt.Sprintf("Content-Length: %d\r\n", total)
	} else {
		length = "Connection: close\r\n"
	}
	if !write(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/plain\r\n"+length+"\r\n") {
		return false
	}
	for i := 1; i <= plainParts; i++ {
		time.Sleep(r.pause)
		if !write(c, plainPart(id, i)) {
			return false
		}
	}
	r.record("answered %s", id)
	return !r.unframed
}

// answerStream writes a stream of events after the last one that the request names.
func (r *replica) answerStream(c net.Conn, q *http.Request, id, head string) bool {
	framing := "Transfer-Encoding: chunked\r\n"
	if r.unframed {
		framing = "Connection: close\r\n"
	}
	if !write(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\n"+framing+"\r\n") {
		return false
	}
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= r.events; i++ {
		time.Sleep(r.pause)
		event := fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", i, id, i, r.events)
		if !r.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if !write(c, event) {
			r.record("left %s after event %d", id, i)
			return false
		}
	}
	r.record("answered %s", id)
	return !r.unframed && write(c, "0\r\n\r\n")
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// seal stands for the replica's MAC of an answer.
func seal(id string) string { return "seal." + id }
