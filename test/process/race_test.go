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

// applyAs runs "config apply" of a folder and returns what it printed.
func (f *fleet) applyAs(dir string, args ...string) (string, error) {
	all := append([]string{"config", "apply", dir, "--platform", f.base()}, args...)
	out, err := exec.Command(binary, all...).CombinedOutput()
	return string(out), err
}

// withDeadline copies the example folder with another deadline for background
// work.
func withDeadline(t *testing.T, seconds int) string {
	t.Helper()
	dir := quietFree(t)
	text := fmt.Sprintf("[rank.background]\ndeadline = \"%ds\"\n", seconds)
	is.New(t).NoErr(os.WriteFile(filepath.Join(dir, "99-deadline.toml"), []byte(text), 0o600))
	return dir
}

// Operators race on the same revision as separate processes: one is accepted,
// each other is told who was first and what to do; the accepted change comes
// into force on every live node, and "--wait" says so.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 1, 1)
	const operators = 4
	outputs := make([]string, operators)
	accepted := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range operators {
		dir := withDeadline(t, 100+i)
		wg.Go(func() {
			out, err := f.applyAs(dir, "--base", "1", "--note", fmt.Sprintf("operator %d", i), "--wait", "--node", f.nodes[0].addresses["operators"], "--key", operatorKey)
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
		is.True(strings.Contains(out, "made revision 2"))            // who was first
		is.True(strings.Contains(out, "rank.background.deadline: ")) // what changed
		is.True(strings.Contains(out, "nothing was applied"))        // what became of it
		is.True(strings.Contains(out, "apply again"))                // what to do
	}
	for _, p := range f.nodes {
		s, err := f.status(p)
		is.NoErr(err)
		is.Equal(s.Revision.Number, uint64(2))
	}
}

// A node frozen by SIGSTOP, whose connections stay open, is taken for dead in
// time and requests find their way around it; after it goes on it is live
// again and takes nobody for dead.
func TestFrozenNodeIsFoundOut(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 3, 2)
	live := func(by *process, id string) bool {
		s, err := f.status(by)
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
		is.True(strings.HasSuffix(a.body, "data: [DONE]\n\n")) // whole, around the frozen owner
	}
	eventually(t, "the others take the frozen node for dead", func() bool {
		return !live(f.nodes[0], "entry-2") && !live(f.nodes[1], "entry-2")
	})
	f.nodes[2].signal(t, syscall.SIGCONT)
	eventually(t, "all see each other again", func() bool {
		for _, p := range f.nodes {
			for i := range f.nodes {
				if !live(p, fmt.Sprintf("entry-%d", i)) {
					return false
				}
			}
		}
		return true
	})
}
