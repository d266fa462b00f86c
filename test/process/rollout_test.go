package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/node"
)

const (
	oldVersion = "kuski@v1"
	newVersion = "kuski@v2"
	// rolloutCallers is the number of callers; they do not pause between requests.
	rolloutCallers = 8
)

// mustRunOperatorCommand runs a command against the platform, fails the test on an
// error and returns the output.
func (f *fleet) mustRunOperatorCommand(t *testing.T, args ...string) string {
	t.Helper()
	out, err := f.runCommand(append(args, "--platform", f.platformURL())...)
	if err != nil {
		t.Fatalf("%s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return out
}

// copyConfigWithStage copies the example configuration with a single long stage of
// the roll-out.
func copyConfigWithStage(t *testing.T, percent int) string {
	t.Helper()
	dir := copyConfigWithoutQuietHours(t)
	content := fmt.Sprintf("[rollout.kuski-v2]\nstages = [{ percent = %d.0, bake = \"1h\" }]\n", percent)
	is.New(t).NoErr(os.WriteFile(filepath.Join(dir, "99-stages.toml"), []byte(content), 0o600))
	return dir
}

// versionReport returns a node's report on a version; it is zero if the node does
// not list the version.
func (f *fleet) versionReport(p *process, name string) (node.VersionReport, error) {
	s, err := f.status(p)
	for _, v := range s.Versions {
		if v.Version == name {
			return v, err
		}
	}
	return node.VersionReport{}, err
}

// requestVersion sends a chat request in a session and returns the version that
// answered.
func requestVersion(p *process, session string) (string, error) {
	body := `{"model":"kuski","max_tokens":2,"messages":[{"role":"user","content":"When does the bus leave?"}]}`
	got := send(p, chatPath, body, map[string]string{"X-Session": session})
	var reply struct {
		Model string `json:"model"`
	}
	if got.err != nil || got.status != http.StatusOK {
		return "", fmt.Errorf("status %d, %w: %s", got.status, got.err, got.body)
	}
	return reply.Model, json.Unmarshal([]byte(got.body), &reply)
}

// findSessionsOn starts sessions until count of them are on a version.
func findSessionsOn(t *testing.T, p *process, version string, count int) []string {
	t.Helper()
	var sessions []string
	for i := 0; len(sessions) < count && i < 100*count; i++ {
		session := fmt.Sprintf("rider-%d", i)
		got, err := requestVersion(p, session)
		is.New(t).NoErr(err)
		if got == version {
			sessions = append(sessions, session)
		}
	}
	is.New(t).Equal(len(sessions), count)
	return sessions
}

// Guards against a bad version that stays in use because the roll-out's controller
// died. The version answers badly and the controller is killed: another node's guard
// withdraws the version, every live node stops sending it work, and its sessions
// move once.
func TestBadRolloutAcrossProcesses(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 4, 2, 1, "--quality", newVersion+"=0.3")
	f.mustApplyConfig(t, copyConfigWithStage(t, 50))
	is.True(strings.Contains(f.mustRunOperatorCommand(t, "rollout", "start", "kuski-v2", "--dry-run"), "50"))
	f.mustRunOperatorCommand(t, "rollout", "start", "kuski-v2")
	eventually(t, "the stage is in force", func() bool {
		for _, p := range f.nodes {
			if v, err := f.versionReport(p, newVersion); err != nil || v.Stage != 1 {
				return false
			}
		}
		return true
	})
	sessions := findSessionsOn(t, f.nodes[0], newVersion, 3)

	v, err := f.versionReport(f.nodes[0], newVersion)
	is.NoErr(err)
	live := make([]*process, 0, len(f.nodes))
	var controller *process
	for i, p := range f.nodes {
		if fmt.Sprintf("entry-%d", i) == v.Controller {
			controller = p
			continue
		}
		live = append(live, p)
	}
	is.True(controller != nil) // the report names the controller
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var answered atomic.Int64
	var failures sync.Map
	var wg sync.WaitGroup
	for i := range rolloutCallers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if _, err := requestVersion(live[i%len(live)], fmt.Sprintf("caller-%d-%d", i, n)); err != nil {
					failures.Store(i, err)
				}
				answered.Add(1)
			}
		})
	}
	eventually(t, "requests are answered", func() bool { return answered.Load() > rolloutCallers })
	controller.signal(t, syscall.SIGKILL)
	eventually(t, "the version is withdrawn at every live node", func() bool {
		for _, p := range live {
			if v, err := f.versionReport(p, newVersion); err != nil || v.Withdrawn == "" {
				return false
			}
		}
		return true
	})
	stop()
	wg.Wait()
	failures.Range(func(_, err any) bool {
		t.Errorf("a request failed: %v", err)
		return true
	})
	is.True(strings.Contains(f.mustRunOperatorCommand(t, "rollout", "show"), newVersion)) // the withdrawal is shown
	for _, p := range live {
		for _, session := range sessions {
			got, err := requestVersion(p, session)
			is.NoErr(err)
			is.Equal(got, oldVersion)
		}
	}
}
