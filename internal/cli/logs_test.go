package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Lines of a request from two processes are printed together with changes at its
// server. Lines of other requests and servers must be left out.
func TestExplainFromLogs(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one"), filepath.Join(dir, "two")
	is.NoErr(os.WriteFile(one, []byte(`  3.2 n1 {"ts":"2026-12-04T10:00:03.000Z","msg":"backend server ejected","node":"n1","server":"s1"}
{"ts":"2026-12-04T10:00:03.100Z","msg":"backend server ejected","node":"n1","server":"s9"}
{"ts":"2026-12-04T10:00:04.000Z","msg":"request","node":"n1","request":"abc","ms":900,"steps":[{"server":"s1"}]}
{"ts":"2026-12-04T10:00:04.000Z","msg":"request","node":"n1","request":"other","ms":900}
not a line
`), 0o600))
	is.NoErr(os.WriteFile(two, []byte(`{"ts":"2026-12-04T10:00:05.000Z","msg":"request","node":"n2","request":"abc","ms":10}
{"ts":"2026-12-04T11:00:05.000Z","msg":"store lost","node":"n2"}
`), 0o600))
	var out bytes.Buffer
	is.Equal(Run([]string{"logs", "explain", "abc", one, two}, &out, &out), 0)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.Contains(lines[0], "ejected"))
	is.True(strings.HasPrefix(lines[1], "> "))
	is.True(strings.Contains(lines[2], "n2"))
	out.Reset()
	is.Equal(Run([]string{"logs", "explain", "none", one}, &out, &out), 1)
	is.True(strings.Contains(out.String(), "no line of request none"))
}
