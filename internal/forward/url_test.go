package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

// Guards against a path or query that reaches a server in another form than the caller sent:
// escaped once more, unescaped, or as a complete URL.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	for _, target := range []string{
		"/plain/aino%20k", "/plain/a%2Fb?day=2", "/plain/a%2fb", "/plain/%E4%BD%A0?", "/a//b", "/a/../b/.", "/a;b=1,2/$&'()*+=:@!~", "/[x]", "/a\"b<c>|d", "/caf\xc3\xa9", "/a?b=%zz&c=\"d\"#e",
		"//plain/aino%20k", "//plain/a%2Fb?day=2", "//plain/a%2fb", "//plain/%E4%BD%A0?", "///", "//", "//a/../b/.", "//a;b=1,2/$&'()*+=:@!~", "//h:80/x", "//u@h/x?y", "//a?b=%zz&c=\"d\"#e",
	} {
		for _, origin := range []string{"", "http://h", "HTTP://h:80"} {
			t.Run(origin+target, func(t *testing.T) {
				is := is.New(t)
				got, status := sendTarget(t, origin+target)
				is.Equal(status, http.StatusOK)
				is.Equal(got, target)
			})
		}
	}
}

// Guards against a path that cannot be sent on unchanged and is changed instead of refused.
func TestTargetThatCannotBeForwardedIsRefused(t *testing.T) {
	for _, target := range []string{"//a\"b<c>|d", "//caf\xc3\xa9%2F", "//a^b"} {
		is := is.New(t)
		got, status := sendTarget(t, target)
		is.Equal(status, http.StatusBadRequest)
		is.Equal(got, "")
	}
}

// sendTarget sends a request whose line has the given target, and returns the target that
// reached the server and the status.
func sendTarget(t *testing.T, target string) (got string, status int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		var err error
		b.table, err = route.NewTable(route.Definition{Routes: []route.Route{{Name: "all", Host: "h", Prefix: "/", Kind: route.Idempotent, MaxAttempts: 1, Anonymous: true, Backends: []route.Backend{{Service: "s", Weight: 1}}}}})
		is.NoErr(err)
		b.server("x", func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusOK, "", "ok") })
		conn, err := b.net.dial(t.Context(), "tcp", "front")
		is.NoErr(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nT-Id: r1\r\nConnection: close\r\n\r\n", target)
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		status = resp.StatusCode
		if received := b.receivedRequests(); len(received) > 0 {
			got = received[0].RequestURI
		}
	})
	return got, status
}
