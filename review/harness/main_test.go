//go:build review

// Package harness starts the project's program as separate processes beside stand-ins of
// the store, the backend servers and the consumers, and plays one case of the review.
package harness

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	maxCaseTime = 115 * time.Second
)

// record is the account of a case: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	out     *bufio.Writer
	runs    map[string][]string // guarded by mu; what servers ran, by the request's ID
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{started: time.Now(), file: f, out: bufio.NewWriter(f), runs: map[string][]string{}}
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// addRun writes a line and keeps the path and query with which a server ran a request.
func (r *record) addRun(id, uri, format string, args ...any) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], uri)
	r.mu.Unlock()
	r.add(format, args...)
}

// uris returns the paths and queries with which servers ran a request.
func (r *record) uris(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// note writes a line to the record and to the standard output.
func (r *record) note(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.add(format, args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// bench is what a case has at hand.
type bench struct {
	record  *record
	dir     string
	trouble bool
	store   *store
	nodes   []*node
}

// end ends all processes that the case started.
func (b *bench) end() {
	for _, n := range b.nodes {
		n.kill()
	}
	b.record.close()
	_ = os.RemoveAll(b.dir)
}

// check ends the case if something outside the program under test failed.
func check(err error) {
	if err != nil {
		panic(err)
	}
}

var cases = map[string]func(*bench) int{
	"slow-upload":   slowUpload,
	"lookalikes":    lookalikes,
	"relay-kill":    relayKill,
	"relay-stop":    relayStop,
	"silent-watch":  silentWatch,
	"changed-path":  changedPath,
	"quick-servers": quickServers,
	"memory":        memory,
	"good-rollout":  goodRollout,
}

// TestMain plays the case that the arguments name, in place of tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE RECORD; TROUBLE=0 leaves the disruption out")
		os.Exit(exitCannot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*bench) int, path string) (status int) {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	trouble, err := strconv.Atoi(os.Getenv("TROUBLE"))
	b := &bench{record: newRecord(path), dir: dir, trouble: err != nil || trouble != 0}
	defer b.end()
	defer func() {
		if p := recover(); p != nil {
			b.record.note("the case could not run: %v", p)
			status = exitCannot
		}
	}()
	done := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				b.record.note("the case could not run: %v", p)
				done <- exitCannot
			}
		}()
		done <- run(b)
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case status = <-done:
	case <-interrupted:
		b.record.note("the case was interrupted")
		status = exitCannot
	case <-time.After(maxCaseTime):
		b.record.note("the case took too long")
		status = exitCannot
	}
	return status
}
