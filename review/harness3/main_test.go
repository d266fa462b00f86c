//go:build review3

// Package harness3 runs the cases of a review against the project's own processes. Its test
// binary is a program: it exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package harness3

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)

// record is the file in which a case notes what was sent, answered and run.
var record struct {
	mu    sync.Mutex
	file  *os.File // guarded by mu
	began time.Time
}

// note writes one line with the time since the start.
func note(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
}

// TestMain is the program; there are no tests.
func TestMain(*testing.M) {
	cases := map[string]func(f *fleet, withTrouble bool) (int, error){"drain": drainCase, "lapse": lapseCase, "session": sessionCase, "crash": crashCase}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(notRun)
	}
	var err error
	if record.file, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	record.began = time.Now()
	os.Exit(play(cases[os.Args[1]]))
}

func play(run func(f *fleet, withTrouble bool) (int, error)) int {
	f, err := newFleet()
	if f != nil {
		defer f.stop()
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		go func() {
			<-signals
			f.stop()
			os.Exit(notRun)
		}()
	}
	result := notRun
	if err == nil {
		result, err = run(f, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return notRun
	}
	text := map[int]string{held: "the rule held", broken: "the rule was broken"}[result]
	note("%s", text)
	fmt.Println(text)
	return result
}
