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
	// rolloutCallers send requests without a pause between them.
	rolloutCallers = 8
)

// operate runs one command of an operator against the platform.
func (f *fleet) operate(t *testing.T, args ...string) string {
	t.Helper()
	out, err := f.command(append(args, "--platform", f.base())...)
	if err != nil {
		t.Fatalf("%s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return out
}

// withStages copies the example folder with one long stage of the roll-out.
func withStages(t *testing.T, percent int) string {
	t.Helper()
	dir := quietFree(t)
	text := fmt.Sprintf("[rollout.kuski-v2]\nstages = [{ percent = %d.0, bake = \"1h\" }]\n", percent)
	is.New(t).NoErr(os.WriteFile(filepath.Join(dir, "99-stages.toml"), []byte(text), 0o600))
	return dir
}

// version returns what a node reports of a version.
func (f *fleet) version(p *process, name string) (node.VersionReport, error) {
	s, err := f.status(p)
	for _, v := range s.Versions {
		if v.Version == name {
			return v, err
		}
	}
	return node.VersionReport{}, err
}

// askSession asks for the model in a session and returns the version that
// answered.
func askSession(p *process, session string) (string, error) {
	body := `{"model":"kuski","max_tokens":2,"messages":[{"role":"user","content":"When does the bus leave?"}]}`
	got := send(p, chatPath, body, map[string]string{"X-Session": session})
	var answered struct {
		Model string `json:"model"`
	}
	if got.err != nil || got.status != http.StatusOK {
		return "", fmt.Errorf("status %d, %w: %s", got.status, got.err, got.body)
	}
	return answered.Model, json.Unmarshal([]byte(got.body), &answered)
}

// sessionsOn starts sessions until some are on a version.
func sessionsOn(t *testing.T, p *process, version string, wanted int) []string {
	t.Helper()
	var out []string
	for i := 0; len(out) < wanted && i < 100*wanted; i++ {
		session := fmt.Sprintf("rider-%d", i)
		got, err := askSession(p, session)
		is.New(t).NoErr(err)
		if got == version {
			out = append(out, session)
		}
	}
	is.New(t).Equal(len(out), wanted)
	return out
}

// An operator starts a roll-out of a version that answers badly. The node that
// drives it is killed; another one withdraws the version by its guard, every
// live node stops giving it work, and the sessions on it move once.
func TestBadRolloutAcrossProcesses(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 4, 2, 1, "--quality", newVersion+"=0.3")
	f.apply(t, withStages(t, 50))
	is.True(strings.Contains(f.operate(t, "rollout", "start", "kuski-v2", "--dry-run"), "50"))
	f.operate(t, "rollout", "start", "kuski-v2")
	eventually(t, "the stage is in force", func() bool {
		for _, p := range f.nodes {
			if v, err := f.version(p, newVersion); err != nil || v.Stage != 1 {
				return false
			}
		}
		return true
	})
	moved := sessionsOn(t, f.nodes[0], newVersion, 3)

	v, err := f.version(f.nodes[0], newVersion)
	is.NoErr(err)
	live := make([]*process, 0, len(f.nodes))
	var driver *process
	for i, p := range f.nodes {
		if fmt.Sprintf("entry-%d", i) == v.Controller {
			driver = p
			continue
		}
		live = append(live, p)
	}
	is.True(driver != nil) // the report names the driver
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var answered atomic.Int64
	var faults sync.Map
	var wg sync.WaitGroup
	for i := range rolloutCallers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if _, err := askSession(live[i%len(live)], fmt.Sprintf("caller-%d-%d", i, n)); err != nil {
					faults.Store(i, err)
				}
				answered.Add(1)
			}
		})
	}
	eventually(t, "requests are answered", func() bool { return answered.Load() > rolloutCallers })
	driver.signal(t, syscall.SIGKILL)
	eventually(t, "the version is withdrawn at every live node", func() bool {
		for _, p := range live {
			if v, err := f.version(p, newVersion); err != nil || v.Withdrawn == "" {
				return false
			}
		}
		return true
	})
	stop()
	wg.Wait()
	faults.Range(func(_, err any) bool {
		t.Errorf("a request failed: %v", err)
		return true
	})
	is.True(strings.Contains(f.operate(t, "rollout", "show"), newVersion)) // the withdrawal is shown
	for _, p := range live {
		for _, session := range moved {
			got, err := askSession(p, session)
			is.NoErr(err)
			is.Equal(got, oldVersion)
		}
	}
}
