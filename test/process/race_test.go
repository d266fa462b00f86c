package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/node"
)

// applyConfig runs "config apply" for a folder with more flags and returns its
// output.
func (f *fleet) applyConfig(dir string, args ...string) (string, error) {
	command := append([]string{"config", "apply", dir, "--platform", f.platformURL()}, args...)
	out, err := exec.Command(binary, command...).CombinedOutput()
	return string(out), err
}

// copyConfigWithDeadline copies the example configuration with another deadline for
// background work.
func copyConfigWithDeadline(t *testing.T, seconds int) string {
	t.Helper()
	dir := copyConfigWithoutQuietHours(t)
	content := fmt.Sprintf("[rank.background]\ndeadline = \"%ds\"\n", seconds)
	is.New(t).NoErr(os.WriteFile(filepath.Join(dir, "99-deadline.toml"), []byte(content), 0o600))
	return dir
}

// Guards against a lost update when operators change the same revision at once:
// one is accepted, and the others learn who was first and what to do. The accepted
// change takes effect on every live node, which "--wait" reports.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 1, 1)
	const operators = 4
	outputs := make([]string, operators)
	accepted := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range operators {
		dir := copyConfigWithDeadline(t, 100+i)
		wg.Go(func() {
			out, err := f.applyConfig(dir, "--base", "1", "--note", fmt.Sprintf("operator %d", i), "--wait", "--node", f.nodes[0].addresses["operators"], "--key", operatorKey)
			mu.Lock()
			defer mu.Unlock()
			outputs[i] = out
			if err == nil {
				accepted++
			}
		})
	}
	wg.Wait()
	is.Equal(accepted, 1)
	for _, out := range outputs {
		if strings.Contains(out, "accepted as revision 2") {
			for i := range f.nodes {
				is.True(strings.Contains(out, fmt.Sprintf("entry-%d in", i))) // each live node is named
			}
			continue
		}
		is.True(strings.Contains(out, "made revision 2"))            // which operator was first
		is.True(strings.Contains(out, "rank.background.deadline: ")) // what changed
		is.True(strings.Contains(out, "nothing was applied"))        // the result
		is.True(strings.Contains(out, "apply again"))                // what to do
	}
	for _, p := range f.nodes {
		s, err := f.status(p)
		is.NoErr(err)
		is.Equal(s.Revision.Number, uint64(2))
	}
}

// Guards against requests that hang on a node frozen by SIGSTOP, whose connections
// stay open: it counts as unreachable in time and requests avoid it. After SIGCONT
// it is live again and considers all others live.
func TestFrozenNodeBecomesUnreachable(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 3, 2)
	isLive := func(observer *process, id string) bool {
		s, err := f.status(observer)
		if err != nil {
			return false
		}
		for _, n := range s.Nodes {
			if n.ID == id {
				return n.State != node.StateUnreachable
			}
		}
		return false
	}
	f.nodes[2].signal(t, syscall.SIGSTOP)
	for range 20 {
		a := send(f.nodes[0], chatPath, chatBody, nil)
		is.NoErr(a.err)
		is.True(strings.HasSuffix(a.body, "data: [DONE]\n\n")) // complete, although the owner is frozen
	}
	eventually(t, "the frozen node counts as unreachable at the others", func() bool {
		return !isLive(f.nodes[0], "entry-2") && !isLive(f.nodes[1], "entry-2")
	})
	f.nodes[2].signal(t, syscall.SIGCONT)
	eventually(t, "all nodes consider each other live again", func() bool {
		for _, p := range f.nodes {
			for i := range f.nodes {
				if !isLive(p, fmt.Sprintf("entry-%d", i)) {
					return false
				}
			}
		}
		return true
	})
}
