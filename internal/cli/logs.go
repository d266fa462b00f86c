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
	// aroundRequest is how long before and after a request lines about its
	// servers are shown.
	aroundRequest = 5 * time.Second
	// maxLogLine bounds one line of a log in bytes.
	maxLogLine = 1 << 20
)

// logLine is what is needed of a line of the log.
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

func newLogs() *cobra.Command {
	cmd := &cobra.Command{Use: "logs", Short: "Read the logs of several processes together"}
	cmd.AddCommand(&cobra.Command{
		Use:   "explain REQUEST FILE...",
		Short: "Show what was decided on a request, and what changed at its backend servers around it",
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

// readLogs reads all lines that are JSON, whatever stands before the JSON.
func readLogs(paths []string) ([]logLine, error) {
	var out []logLine
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		scanner := bufio.NewScanner(f)
		scanner.Buffer(nil, maxLogLine)
		for scanner.Scan() {
			start := bytes.IndexByte(scanner.Bytes(), '{')
			if start < 0 {
				continue
			}
			var l logLine
			if json.Unmarshal(scanner.Bytes()[start:], &l) != nil || l.Message == "" {
				continue
			}
			l.raw = string(scanner.Bytes()[start:])
			out = append(out, l)
		}
		err = scanner.Err()
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", path)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return out, nil
}

// explainRequest prints the lines of a request, and those about its servers
// and its node around it.
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
		if began := l.Time.Add(-time.Duration(l.Millis) * time.Millisecond); from.IsZero() || began.Before(from) {
			from = began
		}
		to = l.Time
	}
	if from.IsZero() {
		return errors.Errorf("no line of request %s: it was sampled out, dropped, or never arrived; see log_lines_dropped_total and the caller's own record", id)
	}
	for _, l := range lines {
		if l.Time.Before(from.Add(-aroundRequest)) || l.Time.After(to.Add(aroundRequest)) {
			continue
		}
		isOwn := l.Request == id
		isAround := l.Request == "" && nodes[l.Node] && (l.Server == "" || servers[l.Server])
		if !isOwn && !isAround {
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
