package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/record"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// key returns the bearer key of an organisation in the test configuration.
func key(organisation string) string { return "key-" + organisation }

func keySumOf(organisation string) string {
	sum := sha256.Sum256([]byte(key(organisation)))
	return hex.EncodeToString(sum[:])
}

// fixture is a gateway without backend servers.
type fixture struct {
	handler                    http.Handler
	record                     *record.Log
	isShuttingDown, isRefusing bool
	view                       func() *membership.Snapshot
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	holder := config.NewHolder()
	holder.ReplaceIfNewer(&config.Revision{Number: 1, Withdrawn: map[config.Target]config.Withdrawal{{Model: "small", Version: "v2"}: {}}, Config: &config.Config{
		Ranks:  map[string]*config.Rank{"normal": {Deadline: config.Duration(time.Second)}},
		Models: map[string]*config.Model{"small": {Default: "v1", Versions: map[string]*config.Version{"v1": {}, "v2": {}}}, "large": {Default: "v1", Versions: map[string]*config.Version{"v1": {}}}},
		Organisations: map[string]*config.Organisation{
			"a": {KeysSHA256: []string{keySumOf("a")}, Allow: []config.Target{{Model: "small"}}, DefaultRank: "normal"},
			"b": {KeysSHA256: []string{keySumOf("b")}, Allow: []config.Target{{Model: "large", Version: "v1"}}, DefaultRank: "normal"},
		},
	}})
	s := config.DefaultSettings()
	tracer, err := telemetry.NewTracer(t.Context(), s)
	is.New(t).NoErr(err)
	f := &fixture{record: record.NewLog("entry-1")}
	f.view = membership.NewTable(wire.NodeState{ID: "entry-1", Address: "127.0.0.1:1"}).Snapshot
	f.handler = New(Options{
		Config: holder, View: func() *membership.Snapshot { return f.view() }, Metrics: telemetry.NewMetrics(), Tracer: tracer, Log: zap.NewNop(),
		Dispatcher:     dispatch.New(dispatch.Options{Config: holder, Record: f.record, Bills: ledger.NewBills(nil, nil, nil), View: func() *membership.Snapshot { return f.view() }}),
		IsShuttingDown: func() bool { return f.isShuttingDown }, IsRefusing: func() bool { return f.isRefusing },
	})
	return f
}

// do sends one request with the key of organisation a.
func (f *fixture) do(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key("a"))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	return w
}

const chatPath = "/v1/chat/completions"

// parseRefusal decodes a refusal and checks that it is complete.
func parseRefusal(t *testing.T, w *httptest.ResponseRecorder) errorDetail {
	t.Helper()
	var body errorBody
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Fatalf("the refusal is not JSON: %q", w.Body)
	}
	is := is.New(t)
	is.Equal(w.Code, httpStatus(body.Error.Code))
	is.True(body.Error.Message != "")                  // the message says what the caller should do
	is.Equal(len(w.Header().Get(HeaderRequestID)), 32) // every response carries a request ID
	is.Equal(w.Header().Get("Content-Type"), "application/json")
	is.Equal(w.Header().Get("Retry-After") != "", body.Error.RetryAfterMS > 0) // both or neither
	return body.Error
}

// Refusals before dispatch must be JSON with a code and must say that the
// request did not run.
func TestRefusals(t *testing.T) {
	long := strings.Repeat("x", maxHeaderValue+1)
	chat := `{"model":"auto","messages":[{"role":"user","content":"x"}]}`
	for _, c := range []struct {
		name, method, path, body string
		headers                  []string
		code                     outcome.Code
	}{
		{"unknown path", "GET", "/v2/chat", "", nil, outcome.CodeNotFound},
		{"wrong method", "GET", chatPath, "", nil, outcome.CodeMethodNotAllowed},
		{"unknown method", "BREW", chatPath, "", nil, outcome.CodeMethodNotAllowed},
		{"not JSON", "POST", chatPath, "{", nil, outcome.CodeBadRequest},
		{"wrong type", "POST", chatPath, `{"model":1}`, nil, outcome.CodeBadRequest},
		{"no messages", "POST", chatPath, `{"model":"auto"}`, nil, outcome.CodeBadRequest},
		{"negative length", "POST", chatPath, `{"model":"auto","max_tokens":-1,"messages":[{"content":"x"}]}`, nil, outcome.CodeBadRequest},
		{"two answers", "POST", chatPath, `{"model":"auto","n":2,"messages":[{"content":"x"}]}`, nil, outcome.CodeBadRequest},
		{"image", "POST", chatPath, `{"model":"auto","messages":[{"content":[{"type":"image_url"}]}]}`, nil, outcome.CodeBadRequest},
		{"too large", "POST", chatPath, strings.Repeat(" ", maxBodyBytes+1), nil, outcome.CodeTooLarge},
		{"unknown rank", "POST", chatPath, chat, []string{HeaderRank, "gold"}, outcome.CodeBadRequest},
		{"long session", "POST", chatPath, chat, []string{HeaderSession, long}, outcome.CodeBadRequest},
		{"two sessions", "POST", chatPath, chat, []string{HeaderSession, "a", HeaderSession, "b"}, outcome.CodeBadRequest},
		{"deadline of text", "POST", chatPath, chat, []string{HeaderDeadline, "soon"}, outcome.CodeBadRequest},
		{"deadline too far", "POST", chatPath, chat, []string{HeaderDeadline, "9999999999999999"}, outcome.CodeBadRequest},
		{"no key", "POST", chatPath, chat, []string{"Authorization", ""}, outcome.CodeUnauthorised},
		{"another's service", "POST", "/v1/services/booking/seats", "", nil, outcome.CodeNotAllowed},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			if c.code == outcome.CodeUnauthorised {
				w := httptest.NewRecorder()
				f.handler.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
				is.New(t).Equal(parseRefusal(t, w).Code, c.code)
				return
			}
			got := parseRefusal(t, f.do(c.method, c.path, c.body, c.headers...))
			is.New(t).Equal(got.Code, c.code)
			is.New(t).Equal(got.Ran, outcome.RanNo)
		})
	}
}

func TestTooManyHeadersAreRefused(t *testing.T) {
	var headers []string
	for i := range maxHeaders {
		headers = append(headers, fmt.Sprintf("X-Other-%d", i), "x")
	}
	is.New(t).Equal(parseRefusal(t, newFixture(t).do("POST", chatPath, "{}", headers...)).Code, outcome.CodeBadRequest)
}

func TestRefusalDuringShutdownHasRetryAfter(t *testing.T) {
	f := newFixture(t)
	f.isRefusing = true
	got := f.do("POST", chatPath, "{}")
	is := is.New(t)
	is.Equal(parseRefusal(t, got).Code, outcome.CodeShuttingDown)
	is.Equal(got.Header().Get("Retry-After"), "1")
	is.Equal(got.Header().Get("Connection"), "close")
}

// A panic in a handler must be answered as "may have run", and the next request
// must be served.
func TestPanicIsAnswered(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	view := f.view
	f.view = nil
	got := parseRefusal(t, f.do("GET", "/v1/addresses", ""))
	is.Equal(got.Code, outcome.CodeInternal)
	is.Equal(got.Ran, outcome.RanMaybe)
	f.view = view
	is.Equal(f.do("GET", "/v1/addresses", "").Code, http.StatusOK)
}

// An organisation must see only the models that it may use, without withdrawn
// versions.
func TestModelListShowsAllowedVersions(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	modelIDs := func(w *httptest.ResponseRecorder) []string {
		var list modelList
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &list))
		var out []string
		for _, e := range list.Data {
			out = append(out, e.ID)
		}
		return out
	}
	is.Equal(modelIDs(f.do("GET", "/v1/models", "")), []string{"auto", "small", "small@v1"})
	r := httptest.NewRequest("GET", "/v1/models", nil)
	r.Header.Set("Authorization", "bearer "+key("b"))
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	is.Equal(modelIDs(w), []string{"auto", "large", "large@v1"})
}

// The caller's own request ID must be returned, and must not replace the
// router's ID.
func TestRequestIdentity(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	got := f.do("POST", chatPath, "{", HeaderRequestID, "trip-17")
	is.Equal(got.Header().Get(HeaderClientRequestID), "trip-17")
	id := got.Header().Get(HeaderRequestID)
	is.True(id != "trip-17")
	is.Equal(len(f.record.Steps(id)), 2) // the refusal can be explained
	is.Equal(f.record.Steps("trip-17"), f.record.Steps(id))
	is.Equal(f.do("POST", chatPath, "{", HeaderRequestID, "a b").Header().Get(HeaderClientRequestID), "")
}

// A key must be refused as soon as a new revision replaces it.
func TestKeyIndexFollowsRevision(t *testing.T) {
	is := is.New(t)
	g := &Gateway{}
	newRevision := func(n uint64, organisation string) *config.Revision {
		return &config.Revision{Number: n, Config: &config.Config{Organisations: map[string]*config.Organisation{organisation: {KeysSHA256: []string{keySumOf(organisation), "short"}}}}}
	}
	sum := sha256.Sum256([]byte(key("a")))
	is.Equal(g.keyIndexFor(newRevision(1, "a")).organisations[sum], "a")
	is.Equal(g.keyIndexFor(newRevision(2, "b")).organisations[sum], "")
}

func TestMessageContentFormats(t *testing.T) {
	is := is.New(t)
	b, err := parseChat([]byte(`{"model":"m","temperature":0.1,"max_completion_tokens":7,"messages":[
		{"role":"system","content":null},{"content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]},{"role":"user","content":"c"}]}`))
	is.NoErr(err)
	is.Equal(b.prompt(), "system: \nuser: ab\nuser: c\n")
	is.Equal(b.MaxTokens, 7)
}

func TestServicePath(t *testing.T) {
	is := is.New(t)
	for path, want := range map[string]string{
		"/seats": "/seats", "/seats/": "/seats/", "/a b": "/a%20b", "/a?b": "/a%3Fb", "/a#b": "/a%23b", "/": "/", "": "",
	} {
		got, err := servicePath("/v1/services/booking"+path, "booking")
		is.NoErr(err)
		is.Equal(got, want)
	}
	for _, path := range []string{"//seats", "/a/../seats", "/./seats", "/seats//", "/.."} {
		_, err := servicePath("/v1/services/booking"+path, "booking")
		is.Equal(outcome.AsRefusal(err).Code, outcome.CodeBadRequest)
	}
}

// No body and no header may make the gateway fail. Requests that are not served
// must get a complete refusal.
func FuzzRequest(f *testing.F) {
	f.Add(`{"model":"auto","messages":[{"role":"user","content":"x"}]}`, "normal", "s", "100", "id")
	f.Add(`{"model":"auto","messages":[{"content":[{"type":"text","text":"x"}]}]}`, "", "", "-1", "")
	f.Add(`{"messages":[{"content":[[]]}],"model":{}}`, "x", "", "1e9", "\x00")
	f.Add(`[]`, "", "\xff", "0x10", "..")
	f.Add(`{"model":"small@v2@v3","max_tokens":8192,"messages":[null]}`, "", "", "", "")
	f.Fuzz(func(t *testing.T, body, rank, session, deadline, id string) {
		w := newFixture(t).do("POST", chatPath, body, HeaderRank, rank, HeaderDeadline, deadline, HeaderRequestID, id, "Idempotency-Key", session)
		if got := parseRefusal(t, w); got.Code == outcome.CodeInternal {
			t.Fatalf("the handler failed: %+v", got)
		}
	})
}

// Guards against a callers' page that is out of date: docs/callers.md must list
// exactly the codes of the program, each with its status.
func TestCallersPageListsAllCodes(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../docs/callers.md")
	is.NoErr(err)
	documented := map[outcome.Code]int{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9]+) \\|").FindAllStringSubmatch(string(raw), -1) {
		documented[outcome.Code(m[1])], err = strconv.Atoi(m[2])
		is.NoErr(err)
	}
	is.Equal(documented, httpStatuses)
}
