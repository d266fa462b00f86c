//go:build review2

// Package standin2 holds the stand-ins and the cases of the second review. Each case starts the
// edge nodes of the deploy file and stand-ins of the platform, replicas and clients. It is built as
// a test binary that takes the arguments of a command.
package standin2

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// cases are the cases by their folder. They return what broke the rule.
var cases = map[string]func(f *fleet, trouble bool) ([]string, error){
	"6": brokenFailure,
	"7": crashedUnframed,
	"8": changedPath,
}

// TestMain runs a replica or a case in place of tests.
func TestMain(*testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		if err := runReplica(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		os.Exit(0)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if
// the case could not run.
func runCase(name, dir string) int {
	run := cases[name]
	f, err := newFleet(dir)
	if run == nil || err != nil {
		fmt.Fprintln(os.Stderr, "case cannot run:", err)
		return 2
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		f.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f.say("case %s, trouble %t", name, trouble)
	broken, err := run(f, trouble)
	f.copyRuns()
	if err != nil {
		f.say("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "case cannot run:", err)
		if path := os.Getenv("KEEP_LOGS"); path != "" {
			_ = os.CopyFS(path, os.DirFS(f.dir))
		}
		return 2
	}
	for _, p := range f.nodes {
		select {
		case <-p.done:
			broken = append(broken, p.name+" ended by itself")
		default:
		}
	}
	if path := os.Getenv("KEEP_LOGS"); path != "" {
		_ = os.CopyFS(path, os.DirFS(f.dir))
	}
	for _, line := range broken {
		f.say("BROKEN %s", line)
	}
	fmt.Printf("case %s, trouble %t: rule broken %d times\n", name, trouble, len(broken))
	if len(broken) > 0 {
		return 1
	}
	return 0
}

// copyRuns copies what the replicas recorded into the record.
func (f *fleet) copyRuns() {
	raw, err := os.ReadFile(f.runsLog())
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = f.record.Write(raw)
}

// runs returns the replicas that ran each request, by its id.
func (f *fleet) runs() map[string][]string {
	out := map[string][]string{}
	raw, err := os.Open(f.runsLog())
	if err != nil {
		return out
	}
	defer raw.Close()
	for lines := bufio.NewScanner(raw); lines.Scan(); {
		if parts := strings.Fields(lines.Text()); len(parts) > 3 && parts[2] == "run" {
			out[parts[3]] = append(out[parts[3]], parts[1])
		}
	}
	return out
}

// forEach calls send for n requests, one each interval, and waits for all.
func forEach(n int, interval time.Duration, send func(i int)) {
	var sent sync.WaitGroup
	for i := range n {
		sent.Go(func() { send(i) })
		time.Sleep(interval)
	}
	sent.Wait()
}

// engineHeaders returns the headers of a request to an engine.
func engineHeaders(i int) map[string]string {
	return map[string]string{
		"X-Cowslipfall-Model-Id": "daka510000", "X-Cowslipfall-Token-Counts": "1111,52",
		"X-Cowslipfall-Prompt-Prefix": fmt.Sprintf("%08x:341,%08x:227,%08x:543", 0x1000+i%20, 0x2000+i%120, 0x10000+i), "Content-Type": "application/json",
	}
}
