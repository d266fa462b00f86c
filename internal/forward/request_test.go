package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

// Callers may send complete URLs, and missing or invalid headers must fall back
// to their defaults.
func TestParse(t *testing.T) {
	is := is.New(t)
	r, err := http.NewRequest(http.MethodPost, "/a/b?q=1", nil)
	is.NoErr(err)
	r.RequestURI = "http://h/a/b?q=1" // some callers send the complete URL
	for name, value := range map[string]string{"T-Left": "1500", "T-Tokens": "1460,80", "T-Prompt": "5c:800,91:410,e4:250", "T-Hint": "40", "T-Session": "s"} {
		r.Header.Set(name, value)
	}
	now := time.Unix(100, 0)
	q := testHeaders.parse(r, &route.Route{Timeout: time.Second}, nil, nil, now)
	is.Equal(q.URI, "/a/b?q=1")
	is.Equal(q.Deadline, now.Add(time.Second))
	is.Equal(q.CallerDeadline, now.Add(1500*time.Millisecond))
	is.Equal(q.Subject, "91")
	is.Equal(q.unsharedTokens(), 250.0)
	is.Equal(q.ExpectedTokens, 40.0)
	is.Equal(q.transferKB(), 40.0*answerBytesPerToken/1024)
	is.Equal(q.uncachedTokens(0), 1460.0)
	is.Equal(q.uncachedTokens(1), 660.0)
	is.Equal(q.uncachedTokens(2), 250.0)
	is.Equal(q.sharedPartHashes("m"), []prefix.Part{prefix.HashPart("m", "5c"), prefix.HashPart("m", "91")})
	r.Header.Del("T-Prompt")
	q = testHeaders.parse(r, &route.Route{}, nil, nil, now)
	is.Equal(q.Subject, "")
	r.Header.Set("T-Left", "nonsense")
	q = testHeaders.parse(r, &route.Route{}, nil, nil, now)
	is.Equal(q.Deadline, now.Add(defaultTimeLeft))
}

// A step of the wall clock must not change the budget, which uses the monotonic
// clock.
func TestBudgetIgnoresWallClock(t *testing.T) {
	is := is.New(t)
	b := fixedBudget(BudgetBounds{Ratio: 0.9, Allowance: 0, Window: 10 * time.Second}, 1)
	now := time.Now()
	for range 100 {
		b.CountRequest("s", now)
	}
	taken := 0
	for i := range 100 {
		if b.TryReserve("s", now.Add(time.Duration(i)*50*time.Millisecond)) {
			taken++
		}
	}
	is.Equal(taken, 81) // 0.9 of 0.9 * 100
	is.True(!b.TryReserve("s", now.Add(9*time.Second)))
}
