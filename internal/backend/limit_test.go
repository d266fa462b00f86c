package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A load report carries the limit that the answer's header names, or what is wrong with
// it. Guards against a limit that the client drops.
func TestLoadReportCarriesLimit(t *testing.T) {
	for _, c := range []struct {
		values  []string
		want    float64 // -1 for none
		isValid bool
	}{{nil, -1, true}, {[]string{"1.3"}, 1.3, true}, {[]string{"-4"}, -1, false}, {[]string{"9", "2"}, 2, false}} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for _, v := range c.values {
				w.Header().Add(HeaderLimit, v)
			}
			_, _ = io.WriteString(w, `{"running":2}`)
		}))
		report, err := NewHTTPDialer().Service(strings.TrimPrefix(server.URL, "http://")).Load(context.Background())
		server.Close()
		is.NoErr(err)
		is.Equal(report.Running, 2)
		is.Equal(report.LimitError == nil, c.isValid)
		is.Equal(report.Limit != nil, c.want >= 0)
		if report.Limit != nil {
			is.Equal(*report.Limit, c.want)
		}
	}
}
