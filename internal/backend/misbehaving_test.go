package backend

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// serveKept starts a server that calls handle for each request of each
// connection until handle returns false. id is the ID of the request's attempt.
func serveKept(t *testing.T, handle func(c net.Conn, r *http.Request, id, body string) bool) (address string) {
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
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					if !handle(conn, r, r.Header.Get("X-Attempt-ID"), string(body)) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// answerTo returns an answer that carries the body of its request.
func answerTo(id, body string, echoes bool) string {
	echo := ""
	if echoes {
		echo = "X-Attempt-ID: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(body), body)
}

// Guards against an answer or a refusal that a server writes once more on a kept
// connection: no call may get the answer to another one, or be told that it did
// not run.
func TestRepeatedAnswerReachesNoOtherCall(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nX-Error-Kind: busy\r\nContent-Length: 0\r\n\r\n"
	for _, echoes := range []bool{true, false} {
		for _, repeated := range []string{"", refusal} {
			for _, whileIdle := range []bool{true, false} {
				t.Run(fmt.Sprintf("echoes %t/refusal %t/idle %t", echoes, repeated != "", whileIdle), func(t *testing.T) {
					is := is.New(t)
					var previous sync.Map // the answer to repeat, by connection
					address := serveKept(t, func(c net.Conn, _ *http.Request, id, body string) bool {
						answer := answerTo(id, body, echoes)
						copied := repeated
						if copied == "" {
							copied = answer
						}
						if p, isKept := previous.Swap(c, copied); isKept && !whileIdle {
							answer = p.(string) + answer
						}
						if whileIdle {
							answer += copied
						}
						_, _ = io.WriteString(c, answer)
						return true
					})
					service, served := NewHTTPDialer().Service(address), 0
					for i := range 8 {
						body := fmt.Sprintf("call %d", i)
						reply, err := service.Do(t.Context(), Call{Method: http.MethodPost, Path: "/", Body: []byte(body)})
						if err == nil {
							served++
							is.Equal(string(reply.Body), body)
						} else {
							is.Equal(asError(err).Ran, outcome.RanMaybe)
						}
						time.Sleep(10 * time.Millisecond)
					}
					is.True(served >= 2)
				})
			}
		}
	}
}

// Guards against connections that are opened for each call: a server that
// identifies its answers is called on kept ones.
func TestIdentifiedAnswersKeepTheConnection(t *testing.T) {
	is := is.New(t)
	connections := map[string]bool{}
	address := serveKept(t, func(c net.Conn, r *http.Request, id, body string) bool {
		connections[c.RemoteAddr().String()] = true
		_, _ = io.WriteString(c, answerTo(id, body, true))
		return true
	})
	service := NewHTTPDialer().Service(address)
	for range 10 {
		_, err := service.Do(t.Context(), Call{Method: http.MethodPost, Path: "/"})
		is.NoErr(err)
	}
	is.Equal(len(connections), 2) // the first call does not know yet whether the server identifies answers
}

// Guards against the refusal of an earlier attempt that is taken for that of an
// attempt that runs.
func TestRepeatedRefusalIsNotOfTheNextAttempt(t *testing.T) {
	is := is.New(t)
	number := 0
	address := serveKept(t, func(c net.Conn, r *http.Request, id, body string) bool {
		var req GenerateRequest
		is.NoErr(json.Unmarshal([]byte(body), &req))
		is.Equal(id, req.Attempt)
		refusal := "HTTP/1.1 503 X\r\nX-Error-Kind: busy\r\nX-Attempt-ID: first\r\nContent-Length: 0\r\n\r\n"
		if number++; number > 1 {
			refusal += answerTo(id, "data: {\"attempt\":\""+id+"\",\"final\":true}\n\n", true) // runs
		}
		_, _ = io.WriteString(c, refusal)
		return true
	})
	engine := NewHTTPDialer().Engine(address)
	for _, c := range []struct {
		attempt string
		ran     outcome.Ran
	}{{"first", outcome.RanNo}, {"second", outcome.RanMaybe}} {
		_, err := engine.Generate(t.Context(), GenerateRequest{Attempt: c.attempt})
		var failure *Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.Ran, c.ran)
	}
}

// Guards against a status that is no final answer: the reply could not be written
// to the caller, whose connection would close without an answer.
func TestOnlyFinalStatusIsAReply(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		is := is.New(t)
		address := serveKept(t, func(c net.Conn, _ *http.Request, _, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 4\r\n\r\noops")
			return false
		})
		_, err := NewHTTPDialer().Service(address).Do(t.Context(), onceCall(http.MethodPost))
		is.True(err != nil)
		is.Equal(asError(err).Ran, outcome.RanMaybe)
		_, err = NewHTTPDialer().Engine(address).Generate(t.Context(), GenerateRequest{Attempt: "a"})
		is.Equal(asError(err).Ran, outcome.RanMaybe)
		_, err = NewHTTPDialer().Service(address).Load(t.Context())
		is.True(err != nil)
		err = NewHTTPDialer().Engine(address).ImportKV(t.Context(), "a", []byte("cache"))
		is.Equal(asError(err).Ran, outcome.RanMaybe)
	}
}

// Guards against an answer cut short that counts as a whole one, at any place of
// its head or body.
func TestAnswerCutAnywhereIsAnError(t *testing.T) {
	const frame = "data: {\"attempt\":\"a\",\"offset\":0,\"final\":true}"
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n" + frame + "\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2e\r\n" + frame + "\n\r\n0\r\n\r\n",
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n" + frame + "\n",
	} {
		for end := 0; end <= len(whole); end++ {
			is := is.New(t)
			address := serveKept(t, func(c net.Conn, _ *http.Request, _, _ string) bool {
				_, _ = io.WriteString(c, whole[:end])
				return false
			})
			reply, err := NewHTTPDialer().Service(address).Do(t.Context(), onceCall(http.MethodPost))
			is.Equal(err == nil, end == len(whole))
			if err == nil {
				is.Equal(string(reply.Body), frame+"\n")
			} else {
				is.True(asError(err).Ran != outcome.RanNo)
			}
			stream, err := NewHTTPDialer().Engine(address).Generate(t.Context(), GenerateRequest{Attempt: "a"})
			if err == nil {
				var f Frame
				f, err = stream.Next()
				is.Equal(f.Final, strings.Contains(whole[:end], frame)) // a whole frame, or none
				is.NoErr(stream.Close())
			}
			is.True(err == nil || asError(err).Ran != outcome.RanNo)
		}
	}
}
