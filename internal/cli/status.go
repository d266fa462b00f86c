package cli

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/node"
)

// minWatchInterval is the shortest interval of --watch.
const minWatchInterval = 200 * time.Millisecond

// newStatus returns the command that prints the state of the fleet.
func newStatus() *cobra.Command {
	f := &operatorFlags{}
	var watch time.Duration
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show nodes, data centres, backend servers, versions and the configuration in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if watch == 0 {
				return showStatus(cmd, f)
			}
			return watchStatus(cmd, f, max(watch, minWatchInterval))
		},
	}
	f.add(cmd)
	cmd.Flags().DurationVar(&watch, "watch", 0, "repeat at this interval, such as 2s, until interrupted")
	return cmd
}

// showStatus fetches one report and prints it.
func showStatus(cmd *cobra.Command, f *operatorFlags) error {
	var r node.Report
	if err := f.get(cmd.Context(), "/status", &r); err != nil {
		return err
	}
	if f.json {
		return printJSON(cmd, r)
	}
	return printReport(cmd.OutOrStdout(), r)
}

// watchStatus prints the status at each interval until interrupted. It continues
// after errors, so that the operator sees when nodes answer again.
func watchStatus(cmd *cobra.Command, f *operatorFlags, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if !f.json {
			fmt.Fprintf(cmd.OutOrStdout(), "\n---- %s\n", time.Now().Format(time.RFC3339))
		}
		if err := showStatus(cmd, f); err != nil && cmd.Context().Err() == nil {
			fmt.Fprintln(cmd.ErrOrStderr(), "cowslipfall: "+err.Error())
		}
		select {
		case <-ticker.C:
		case <-cmd.Context().Done():
			return nil
		}
	}
}

// printReport prints a report as tables.
func printReport(out io.Writer, r node.Report) error {
	fmt.Fprintf(out, "as seen by node %s\n", r.Node)
	if r.Revision.Number == 0 {
		fmt.Fprintln(out, "no configuration yet: apply one with \"config apply DIR\"")
	} else {
		fmt.Fprintf(out, "revision %d by %s at %s: %s\n", r.Revision.Number, r.Revision.Author, r.Revision.At.Format(time.RFC3339), r.Revision.Note)
	}
	printStore(out, r)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printNodes(w, r)
	printVersions(w, r)
	printQuietHours(w, r)
	printSuspects(w, r)
	return w.Flush()
}

// printStore prints whether the store answers, the bills that are not stored yet,
// and whether ratings are used.
func printStore(out io.Writer, r node.Report) {
	switch s := r.Store; {
	case s.FailuresInRow > 0:
		fmt.Fprintf(out, "store: unreachable, %d calls in a row failed since %s (%s)\n", s.FailuresInRow, formatClock(s.LastAnswer), s.Cause)
	default:
		fmt.Fprintf(out, "store: reachable, last answer at %s\n", formatClock(s.LastAnswer))
	}
	fmt.Fprintf(out, "bills not yet stored by this node: %d\n", r.PendingBills)
	if !r.RatingsTrusted {
		fmt.Fprintln(out, "ratings: the ratings of several versions shift together, so no decision on a version uses them now")
	}
}

// formatClock formats the time of day. The zero time stands for the node's start.
func formatClock(t time.Time) string {
	if t.IsZero() {
		return "the start"
	}
	return t.Format("15:04:05")
}

// printNodes prints the tables of data centres, nodes and backend servers.
func printNodes(w io.Writer, r node.Report) {
	fmt.Fprintln(w, "\nDATA CENTRE\tNODES LIVE\tREPLICAS USABLE\tRUNNING")
	for _, d := range r.DataCentres {
		fmt.Fprintf(w, "%s\t%d of %d\t%d of %d\t%d of %d\n", d.Name, d.Live, d.Nodes, d.Usable, d.Replicas, d.Running, d.Limit)
	}
	fmt.Fprintln(w, "\nNODE\tDATA CENTRE\tSTATE\tREVISION\tREPLICAS\tADDRESS")
	for _, n := range r.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", n.ID, n.DataCentre, n.State, formatRevision(n, r.Revision), n.Replicas, n.Address)
	}
	fmt.Fprintln(w, "\nBACKEND SERVER\tPOOL\tDATA CENTRE\tSTATE\tOWNER\tRUNNING\tWAIT BY RANK\tVERSIONS")
	for _, s := range r.Replicas {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d of %d\t%s\t%s\n",
			s.ID, s.Pool, s.DataCentre, formatUsable(s.Usable), s.Owner, s.Running, s.Limit, formatWaits(s.WaitsMS), strings.Join(s.Versions, " "))
	}
}

// formatRevision returns a node's revision, marked if the node is live and behind
// the newest one.
func formatRevision(n node.NodeReport, newest *config.Revision) string {
	text := strconv.FormatUint(n.Revision, 10)
	if n.State == node.StateLive && n.Revision < newest.Number {
		return text + " (behind)"
	}
	return text
}

// formatUsable returns the state of a backend server as text.
func formatUsable(isUsable bool) string {
	if isUsable {
		return "usable"
	}
	return "unusable"
}

// formatWaits formats predicted queue waits by rank, given in milliseconds.
func formatWaits(milliseconds []int64) string {
	var formatted []string
	for _, wait := range milliseconds {
		formatted = append(formatted, (time.Duration(wait) * time.Millisecond).String())
	}
	return strings.Join(formatted, " ")
}

// printVersions prints the table of versions.
func printVersions(w io.Writer, r node.Report) {
	fmt.Fprintln(w, "\nVERSION\tSTATE\tREPLICAS\tROLL-OUT")
	for _, v := range r.Versions {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", v.Version, formatVersionState(v), v.Replicas, formatRollout(v))
	}
}

// formatVersionState returns whether and how a version is in use.
func formatVersionState(v node.VersionReport) string {
	switch {
	case v.Withdrawn != "":
		return "withdrawn: " + v.Withdrawn
	case !v.HeldUntil.IsZero():
		return "suspect: no new sessions until " + formatClock(v.HeldUntil)
	case v.Default:
		return "in place"
	default:
		return "allowed"
	}
}

// formatRollout returns the name and the stage of a version's roll-out, empty if
// it has none.
func formatRollout(v node.VersionReport) string {
	switch {
	case v.Rollout == "":
		return ""
	case v.Stage == 0:
		return v.Rollout + ": not started"
	case v.Withdrawn != "":
		return fmt.Sprintf("%s: ended at stage %d of %d", v.Rollout, min(v.Stage, v.Stages), v.Stages)
	case v.Stage > v.Stages:
		return v.Rollout + ": promoted at " + v.Since.Format(time.RFC3339)
	}
	text := fmt.Sprintf("%s: stage %d of %d, %g%% of new sessions since %s", v.Rollout, v.Stage, v.Stages, v.Percent, v.Since.Format(time.RFC3339))
	if v.Paused {
		return text + ", paused"
	}
	return text + ", driven by " + v.Controller
}

// printQuietHours prints the table of quiet hours, if there are any.
func printQuietHours(w io.Writer, r node.Report) {
	if len(r.QuietHours) == 0 {
		return
	}
	fmt.Fprintln(w, "\nQUIET HOURS\tSTATE\tFROM\tTO")
	for _, q := range r.QuietHours {
		state := "next"
		if q.Active {
			state = "in force"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", q.Name, state, q.From.Format(time.RFC3339), q.To.Format(time.RFC3339))
	}
}

// printSuspects prints the table of crash suspects, if there are any.
func printSuspects(w io.Writer, r node.Report) {
	if len(r.Suspects) == 0 {
		return
	}
	fmt.Fprintln(w, "\nCRASH SUSPECT\tCRASHES\tSTATE\tUNTIL")
	for _, s := range r.Suspects {
		state := "runs separately from other suspects"
		if s.Refused {
			state = "refused"
		}
		fmt.Fprintf(w, "%016x\t%d\t%s\t%s\n", s.Fingerprint, s.Crashes, state, s.Until.Format(time.RFC3339))
	}
}
