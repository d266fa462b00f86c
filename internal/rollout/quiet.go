package rollout

import (
	"slices"
	"time"
	_ "time/tzdata" // zones are there on VMs without a zone database

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// Scope is where and for whom work runs. An empty field is not yet known.
type Scope struct {
	DataCentre   string
	Pool         string
	Model        string
	Organisation string
}

// Window is one stretch of quiet hours; To is the first moment after it. The
// clock margin is part of it.
type Window struct {
	// Name is the rule's name.
	Name string    `json:"name"`
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// Holds tells whether work from now for the given time touches the window.
func (w Window) Holds(now time.Time, length time.Duration) bool {
	return now.Before(w.To) && !now.Add(length).Before(w.From)
}

const (
	timeOfDay = "15:04"
	daysBack  = 2
	daysAhead = 9
	// zoneReach is farther from a wall-clock time than any zone's offset.
	zoneReach = 26 * time.Hour
)

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// rule is one quiet-hours table, parsed.
type rule struct {
	name     string
	zone     *time.Location
	from, to time.Duration // since midnight; to is past 24 h if on the next day
	days     []string
	margin   time.Duration
	quiet    *config.QuietHours
}

// Quiet holds the rules of quiet hours. It is immutable.
type Quiet struct {
	rules []rule
}

// NewQuiet parses the quiet hours of a checked configuration.
func NewQuiet(c *config.Config) (*Quiet, error) {
	q := &Quiet{}
	for name, h := range c.QuietHours {
		r, err := newRule(name, h)
		if err != nil {
			return nil, err
		}
		q.rules = append(q.rules, r)
	}
	slices.SortFunc(q.rules, func(a, b rule) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return q, nil
}

func newRule(name string, h *config.QuietHours) (rule, error) {
	zone, err := time.LoadLocation(h.Zone)
	if err != nil {
		return rule{}, errors.Wrapf(err, "quiet hours %s: write an IANA zone", name)
	}
	from, err := time.Parse(timeOfDay, h.From)
	if err != nil {
		return rule{}, errors.Wrapf(err, "quiet hours %s: write from as hours and minutes", name)
	}
	to, err := time.Parse(timeOfDay, h.To)
	if err != nil {
		return rule{}, errors.Wrapf(err, "quiet hours %s: write to as hours and minutes", name)
	}
	r := rule{name: name, zone: zone, days: h.Days, margin: h.Margin.Std(), quiet: h, from: sinceMidnight(from), to: sinceMidnight(to)}
	if r.to <= r.from {
		r.to += 24 * time.Hour
	}
	return r, nil
}

func sinceMidnight(t time.Time) time.Duration {
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
}

// covers tells whether the rule holds for all of the scope that is known; a
// rule that names what the scope leaves open does not.
func (r *rule) covers(s Scope) bool {
	in := func(list []string, value string) bool { return len(list) == 0 || slices.Contains(list, value) }
	return in(r.quiet.DataCentres, s.DataCentre) && in(r.quiet.Pools, s.Pool) &&
		in(r.quiet.Models, s.Model) && in(r.quiet.Organisations, s.Organisation)
}

// windows returns the rule's windows around now, in their order.
func (r *rule) windows(now time.Time) []Window {
	var out []Window
	day := now.In(r.zone).AddDate(0, 0, -daysBack)
	for range daysBack + daysAhead {
		date := time.Date(day.Year(), day.Month(), day.Day(), 0, 0, 0, 0, time.UTC)
		day = day.AddDate(0, 0, 1)
		if len(r.days) > 0 && !slices.Contains(r.days, weekdays[date.Weekday()]) {
			continue
		}
		out = append(out, Window{Name: r.name, From: firstReading(r.zone, date.Add(r.from)).Add(-r.margin), To: lastReading(r.zone, date.Add(r.to)).Add(r.margin)})
	}
	return out
}

// Hours are the quiet hours of some days, worked out. They are immutable.
type Hours struct {
	rules   []rule
	windows [][]Window // by rule
	from    time.Time
}

// hoursValid is how long worked-out hours may be used.
const hoursValid = 24 * time.Hour

// At works out the hours around now.
func (q *Quiet) At(now time.Time) *Hours {
	h := &Hours{rules: q.rules, from: now}
	for i := range q.rules {
		h.windows = append(h.windows, q.rules[i].windows(now))
	}
	return h
}

// Valid tells whether the hours may be used at now.
func (h *Hours) Valid(now time.Time) bool {
	return !now.Before(h.from.Add(-hoursValid)) && now.Before(h.from.Add(hoursValid))
}

// Next returns the window that holds at now for the scope or begins next;
// false if there is none. Windows that touch count as one.
func (h *Hours) Next(now time.Time, s Scope) (Window, bool) {
	w, ok := h.first(now, s)
	if !ok {
		return w, false
	}
	for range len(h.rules) * daysAhead {
		after, more := h.first(w.To, s)
		if !more || after.From.After(w.To) {
			break
		}
		w.To = after.To
	}
	return w, true
}

// first returns the earliest window not yet over.
func (h *Hours) first(now time.Time, s Scope) (Window, bool) {
	var best Window
	found := false
	for i := range h.rules {
		if !h.rules[i].covers(s) {
			continue
		}
		for _, w := range h.windows[i] {
			if !now.Before(w.To) {
				continue
			}
			if !found || w.From.Before(best.From) {
				best, found = w, true
			}
			break
		}
	}
	return best, found
}

// Edges returns the present or next window of every rule, for operators.
func (h *Hours) Edges(now time.Time) []Window {
	var out []Window
	for _, windows := range h.windows {
		for _, w := range windows {
			if now.Before(w.To) {
				out = append(out, w)
				break
			}
		}
	}
	return out
}

// readings returns the moments at which a zone's clock shows the wall time,
// given as if it were UTC; none in a gap, two in an overlap.
func readings(zone *time.Location, wall time.Time) []time.Time {
	var out []time.Time
	for _, probe := range []time.Time{wall.Add(-zoneReach), wall.Add(zoneReach)} {
		_, offset := probe.In(zone).Zone()
		t := wall.Add(-time.Duration(offset) * time.Second)
		if _, there := t.In(zone).Zone(); there == offset && !slices.ContainsFunc(out, t.Equal) {
			out = append(out, t)
		}
	}
	return out
}

// firstReading is the first moment at which the zone's clock has reached the
// wall time: the change of clocks itself if the time falls into a gap.
func firstReading(zone *time.Location, wall time.Time) time.Time {
	list := readings(zone, wall)
	if len(list) == 0 {
		return gap(zone, wall)
	}
	return slices.MinFunc(list, time.Time.Compare)
}

// lastReading is the last moment at which the zone's clock reaches the wall
// time.
func lastReading(zone *time.Location, wall time.Time) time.Time {
	list := readings(zone, wall)
	if len(list) == 0 {
		return gap(zone, wall)
	}
	return slices.MaxFunc(list, time.Time.Compare)
}

// gap returns the change of clocks that skips the wall time.
func gap(zone *time.Location, wall time.Time) time.Time {
	_, before := wall.Add(-zoneReach).In(zone).Zone()
	start, _ := wall.Add(-time.Duration(before) * time.Second).In(zone).ZoneBounds()
	return start
}
