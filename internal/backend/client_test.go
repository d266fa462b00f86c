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

// onceCall is a call that may not be repeated; without a body it looks
// harmless to repeat.
func onceCall(method string) Call {
	return Call{Method: method, Path: "/confirmations", Key: "seat-1", Fencing: 7, Once: true}
}

// A server that reads the request and cuts the connection gets it once, on a
// fresh and on a kept-open connection, with every method.
func TestCutConnectionDoesNotRepeatACall(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		var calls atomic.Int64
		go answerThenCut(l, &calls)
		service := NewHTTPDialer().Service(l.Addr().String())
		_, err = service.Do(context.Background(), Call{Method: http.MethodGet, Path: "/warm"})
		is.NoErr(err)
		for _, call := range []Call{onceCall(method), {Method: method, Path: "/repeatable", Key: "k"}} {
			_, err = service.Do(context.Background(), call)
			is.Equal(asError(err).Ran, outcome.RanMaybe)
		}
		is.Equal(calls.Load(), int64(3)) // the warm-up and each call once
		l.Close()
	}
}

// answerThenCut answers GET /warm and cuts every other request off after it
// was read; it counts all of them.
func answerThenCut(l net.Listener, calls *atomic.Int64) {
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

// A redirect is the service's answer: it is not followed.
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

// A server that closed the kept-open connection before a call is asked again
// on a new one: such a call does not end as "may have run".
func TestClosedIdleConnectionIsNoDoubt(t *testing.T) {
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

// An answer that breaks off or is too large is an error, and no connection
// means that nothing ran.
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
		_, err := service.Do(context.Background(), Call{Method: http.MethodPost, Path: path, Once: true})
		is.Equal(asError(err).Ran, outcome.RanYes)
	}
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := service.Do(gone, onceCall(http.MethodPost))
	is.Equal(asError(err).Ran, outcome.RanNo) // no connection was made
	s.Close()
	_, err = service.Do(context.Background(), onceCall(http.MethodPost))
	is.Equal(asError(err).Ran, outcome.RanNo)
	is.Equal(asError(err).Kind, KindConnect)
}
