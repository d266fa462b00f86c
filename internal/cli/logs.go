package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

const (
	// contextWindow is the time before and after a request for which lines
	// about its node and servers are shown.
	contextWindow = 5 * time.Second
	// maxLogLineBytes is the maximum length of a log line.
	maxLogLineBytes = 1 << 20
)

// logLine holds the fields of a log line that the commands use.
type logLine struct {
	Time    time.Time `json:"ts"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Node    string    `json:"node"`
	Request string    `json:"request"`
	Server  string    `json:"server"`
	Millis  int64     `json:"ms"`
	Steps   []struct {
		Server string `json:"server"`
	} `json:"steps"`
	raw string
}

// newLogs returns the parent of the log commands.
func newLogs() *cobra.Command {
	cmd := &cobra.Command{Use: "logs", Short: "Read the logs of several processes together"}
	cmd.AddCommand(&cobra.Command{
		Use:   "explain REQUEST FILE...",
		Short: "Show the decisions on a request, and changes at its backend servers around that time",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			return explainRequest(cmd.OutOrStdout(), args[0], lines)
		},
	})
	return cmd
}

// readLogs returns the lines of all files that hold a JSON object, sorted by
// time. Text before the object, such as a process name, is skipped.
func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		scanner := bufio.NewScanner(f)
		scanner.Buffer(nil, maxLogLineBytes)
		for scanner.Scan() {
			start := bytes.IndexByte(scanner.Bytes(), '{')
			if start < 0 {
				continue
			}
			var line logLine
			if json.Unmarshal(scanner.Bytes()[start:], &line) != nil || line.Message == "" {
				continue
			}
			line.raw = string(scanner.Bytes()[start:])
			lines = append(lines, line)
		}
		err = scanner.Err()
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", path)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// explainRequest prints the lines of a request, marked with ">". From
// contextWindow before the request to contextWindow after it, it also prints the
// lines of the request's nodes that belong to no request, except those that name
// a server which the request did not use.
func explainRequest(w io.Writer, id string, lines []logLine) error {
	var from, to time.Time
	servers, nodes := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Request != id {
			continue
		}
		nodes[l.Node] = true
		for _, s := range l.Steps {
			servers[s.Server] = true
		}
		if startedAt := l.Time.Add(-time.Duration(l.Millis) * time.Millisecond); from.IsZero() || startedAt.Before(from) {
			from = startedAt
		}
		to = l.Time
	}
	if from.IsZero() {
		return errors.Errorf("no line of request %s: it was sampled out, dropped, or never arrived; see log_lines_dropped_total and the caller's own record", id)
	}
	for _, l := range lines {
		if l.Time.Before(from.Add(-contextWindow)) || l.Time.After(to.Add(contextWindow)) {
			continue
		}
		isOwn := l.Request == id
		isContext := l.Request == "" && nodes[l.Node] && (l.Server == "" || servers[l.Server])
		if !isOwn && !isContext {
			continue
		}
		mark := "  "
		if isOwn {
			mark = "> "
		}
		if _, err := fmt.Fprintln(w, mark+strings.TrimSpace(l.raw)); err != nil {
			return err
		}
	}
	return nil
}
