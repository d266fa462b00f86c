package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// onceCall returns a call that must not be repeated. It has no body, so an HTTP
// transport may regard it as safe to repeat.
func onceCall(method string) Call {
	return Call{Method: method, Path: "/confirmations", Key: "seat-1", Fencing: 7, IsOnceCall: true}
}

// A server that closes the connection after reading a request receives that
// request only once, on new and on reused connections, with every method.
// Go's transport may otherwise repeat requests on reused connections.
func TestClosedConnectionDoesNotRepeatCall(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		var calls atomic.Int64
		go answerThenClose(l, &calls)
		service := NewHTTPDialer().Service(l.Addr().String())
		_, err = service.Do(context.Background(), Call{Method: http.MethodGet, Path: "/warm"})
		is.NoErr(err)
		for _, call := range []Call{onceCall(method), {Method: method, Path: "/repeatable", Key: "k"}} {
			_, err = service.Do(context.Background(), call)
			is.Equal(asError(err).Ran, outcome.RanMaybe)
		}
		is.Equal(calls.Load(), int64(3)) // the warm-up call and each other call once
		l.Close()
	}
}

// answerThenClose answers GET /warm. It closes the connection after reading any
// other request. It counts all requests in calls.
func answerThenClose(l net.Listener, calls *atomic.Int64) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				calls.Add(1)
				if req.URL.Path != "/warm" {
					return
				}
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			}
		}()
	}
}

// A redirect is returned to the caller as the service's answer. Following it
// would send the request a second time.
func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		var calls atomic.Int64
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			http.Redirect(w, r, "/elsewhere", status)
		}))
		for _, body := range []string{"", `{"seat":1}`} {
			call := onceCall(http.MethodPost)
			call.Body = []byte(body)
			reply, err := NewHTTPDialer().Service(s.Listener.Addr().String()).Do(context.Background(), call)
			is.NoErr(err)
			is.Equal(reply.Status, status)
		}
		is.Equal(calls.Load(), int64(2))
		s.Close()
	}
}

// A server that closes idle connections between calls causes no failed call
// that "may have run": each call that must not be repeated uses a new connection.
func TestClosedIdleConnectionFailsNoCall(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer s.Close()
	service := NewHTTPDialer().Service(s.Listener.Addr().String())
	const rounds = 20
	for range rounds {
		_, err := service.Do(context.Background(), onceCall(http.MethodPost))
		is.NoErr(err)
		s.CloseClientConnections()
	}
	is.Equal(calls.Load(), int64(rounds))
}

// A truncated or oversized answer is an error. Without a connection the error
// states that the request did not run.
func TestPartialAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		if r.URL.Path == "/large" {
			w.Header().Del("Content-Length")
			_, _ = w.Write(make([]byte, maxReplyBytes+1))
			return
		}
		_, _ = w.Write([]byte("half"))
	}))
	address := s.Listener.Addr().String()
	service := NewHTTPDialer().Service(address)
	for _, path := range []string{"/half", "/large"} {
		_, err := service.Do(context.Background(), Call{Method: http.MethodPost, Path: path, IsOnceCall: true})
		is.Equal(asError(err).Ran, outcome.RanYes)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := service.Do(cancelled, onceCall(http.MethodPost))
	is.Equal(asError(err).Ran, outcome.RanNo) // no connection was established
	s.Close()
	_, err = service.Do(context.Background(), onceCall(http.MethodPost))
	is.Equal(asError(err).Ran, outcome.RanNo)
	is.Equal(asError(err).Kind, KindConnect)
}
