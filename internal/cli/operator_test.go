package cli

import (
	"encoding/json"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/node"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const testKey = "0123456789abcdef"

var testTime = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

// operatorServer starts a server that answers one path as a node's operators'
// interface does, and returns its address.
func operatorServer(t *testing.T, path string, answer any) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get("Authorization") != "Bearer "+testKey:
			w.WriteHeader(http.StatusUnauthorized)
		case r.URL.Path != path:
			w.WriteHeader(http.StatusNotFound)
		default:
			_ = json.NewEncoder(w).Encode(answer)
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// The status tables show each state of a node, a version, quiet hours and a
// suspect. With --json the report is printed from the first node that answers.
func TestStatusTables(t *testing.T) {
	is := is.New(t)
	address := operatorServer(t, "/status", node.Report{
		Node: "entry-1", Revision: &config.Revision{Number: 7, Author: "anna", At: testTime, Note: "more seats"},
		Nodes:       []node.NodeReport{{ID: "entry-1", DataCentre: "x", State: node.StateLive, Revision: 7}, {ID: "entry-2", DataCentre: "x", State: node.StateLive, Revision: 6}},
		DataCentres: []node.DataCentreReport{{Name: "x", Nodes: 2, Live: 2, Replicas: 1, Usable: 1, Running: 3, Limit: 16}},
		Replicas:    []node.ReplicaReport{{ID: "engine-1", Pool: "engines", DataCentre: "x", Owner: "entry-1", Usable: true, Running: 3, Limit: 16, Versions: []string{"small@v1"}, WaitsMS: []int64{0, 250}}},
		Versions: []node.VersionReport{
			{Version: "small@v1", Default: true, Replicas: 1},
			{Version: "small@v2", Rollout: "next", Stage: 1, Stages: 2, Percent: 10, Paused: true, Since: testTime},
			{Version: "small@v4", HeldUntil: testTime},
			{Version: "small@v3", Withdrawn: "too slow", Rollout: "last", Stage: 2, Stages: 2},
		},
		QuietHours: []node.QuietReport{{Name: "night", Active: true, From: testTime, To: testTime.Add(time.Hour)}},
		Suspects:   []node.SuspectReport{{Fingerprint: 10, Crashes: 2, Refused: true, Until: testTime}},
	})
	code, out, errs := run("status", "--node", address, "--key", testKey)
	is.Equal(errs, "")
	is.Equal(code, 0)
	for _, part := range []string{
		"revision 7 by anna", "entry-2  x            live   6 (behind)", "x            2 of 2      1 of 1           3 of 16",
		"0s 250ms", "small@v1  in place", "next: stage 1 of 2, 10% of new sessions since 2026-12-04T03:00:00Z, paused",
		"withdrawn: too slow", "small@v4  suspect: no new sessions", "last: ended at stage 2 of 2", "night        in force", "000000000000000a  2        refused",
	} {
		if !strings.Contains(out, part) {
			t.Errorf("the tables lack %q:\n%s", part, out)
		}
	}
	code, out, _ = run("status", "--json", "--node", "127.0.0.1:1,"+address, "--key", testKey)
	is.Equal(code, 0) // the second node answers
	var decoded node.Report
	is.NoErr(json.Unmarshal([]byte(out), &decoded))
	is.Equal(decoded.Revision.Number, uint64(7))
}

// Each failure must name what went wrong and what to do, print nothing else, and
// exit with 1.
func TestOperatorFailures(t *testing.T) {
	address := operatorServer(t, "/status", "not a report")
	for _, c := range []struct{ node, key, remedy string }{
		{"localhost", testKey, "node localhost: is not IP:port"},
		{"127.0.0.1:1", testKey, "try another node"},
		{address, "wrong", "refuses the key"},
		{address, testKey, "cannot be read"},
	} {
		code, out, errs := run("status", "--node", c.node, "--key", c.key)
		is := is.New(t)
		is.Equal(code, 1)
		is.Equal(out, "")
		if !strings.Contains(errs, c.remedy) {
			t.Errorf("the error is %q, without %q", errs, c.remedy)
		}
	}
}

// A node with a certificate answers if its authority is given. Without TLS or
// with a file that holds no certificate, the error says what to give.
func TestStatusOverTLS(t *testing.T) {
	is := is.New(t)
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(node.Report{Node: "entry-1", Revision: &config.Revision{}})
	}))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "https://")
	authority := writeFile(t, "authority.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw})))
	code, out, _ := run("status", "--node", address, "--key", testKey, "--authority", authority)
	is.Equal(code, 0)
	is.True(strings.HasPrefix(out, "as seen by node entry-1\nno configuration yet"))
	code, _, errs := run("status", "--node", address, "--key", testKey)
	is.Equal(code, 1)
	is.True(strings.Contains(errs, "give --tls or --authority"))
	code, _, errs = run("status", "--node", address, "--key", testKey, "--authority", writeFile(t, "a.pem", "x"))
	is.Equal(code, 1)
	is.True(strings.Contains(errs, "holds no certificate"))
}

// The steps are printed with the time since the first, and nodes that did not
// answer are named. A request without steps is an error.
func TestExplainPrintsSteps(t *testing.T) {
	is := is.New(t)
	address := operatorServer(t, "/explain/trip-17", node.Explanation{Request: "trip-17", Silent: []string{"entry-3"}, Steps: []wire.Step{
		{At: testTime, Node: "entry-1", Text: "taken"}, {At: testTime.Add(12 * time.Millisecond), Node: "entry-2", Text: "answered"},
	}})
	code, out, _ := run("explain", "trip-17", "--node", address, "--key", testKey)
	is.Equal(code, 0)
	is.Equal(out, "node entry-3 did not answer: its steps are missing\nrequest trip-17, first seen 2026-12-04T03:00:00Z\n       +0s  entry-1      taken\n     +12ms  entry-2      answered\n")
	unknown := operatorServer(t, "/explain/x", node.Explanation{Request: "x"})
	code, _, errs := run("explain", "x", "--node", unknown, "--key", testKey)
	is.Equal(code, 1)
	is.True(strings.Contains(errs, "no node knows request x"))
}

// The error for an unreachable platform must name its address and the flag.
func TestConfigApplyUnreachablePlatform(t *testing.T) {
	is := is.New(t)
	code, _, errs := run("config", "apply", "../../examples/virtanen", "--platform", "http://127.0.0.1:1")
	is.Equal(code, 1)
	is.True(strings.Contains(errs, "the platform at http://127.0.0.1:1 gave no answer: check --platform"))
}
