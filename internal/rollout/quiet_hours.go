package rollout

import (
	"slices"
	"time"
	_ "time/tzdata" // embeds the time zones for VMs without a zone database

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

// Window is one period of quiet hours. To is the first moment after it. The
// rule's clock margin is included.
type Window struct {
	// Name is the rule's name.
	Name string    `json:"name"`
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// Overlaps reports whether work that starts at now and takes length overlaps the
// window.
func (w Window) Overlaps(now time.Time, length time.Duration) bool {
	return now.Before(w.To) && !now.Add(length).Before(w.From)
}

const (
	timeOfDayLayout = "15:04"
	daysBack        = 2
	daysAhead       = 9
	// maxZoneOffset is larger than the offset of any time zone.
	maxZoneOffset = 26 * time.Hour
)

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// quietRule is one parsed quiet-hours rule of the configuration.
type quietRule struct {
	name     string
	zone     *time.Location
	from, to time.Duration // since midnight; to exceeds 24 h if it is on the next day
	days     []string
	margin   time.Duration
	hours    *config.QuietHours
}

// QuietSchedule holds all quiet-hours rules. It is immutable.
type QuietSchedule struct {
	rules []quietRule
}

// NewQuietSchedule parses the quiet hours of a validated configuration.
func NewQuietSchedule(c *config.Config) (*QuietSchedule, error) {
	q := &QuietSchedule{}
	for name, h := range c.QuietHours {
		r, err := newQuietRule(name, h)
		if err != nil {
			return nil, err
		}
		q.rules = append(q.rules, r)
	}
	slices.SortFunc(q.rules, func(a, b quietRule) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return q, nil
}

func newQuietRule(name string, h *config.QuietHours) (quietRule, error) {
	zone, err := time.LoadLocation(h.Zone)
	if err != nil {
		return quietRule{}, errors.Wrapf(err, "quiet hours %s: write an IANA zone", name)
	}
	from, err := time.Parse(timeOfDayLayout, h.From)
	if err != nil {
		return quietRule{}, errors.Wrapf(err, "quiet hours %s: write from as hours and minutes", name)
	}
	to, err := time.Parse(timeOfDayLayout, h.To)
	if err != nil {
		return quietRule{}, errors.Wrapf(err, "quiet hours %s: write to as hours and minutes", name)
	}
	r := quietRule{name: name, zone: zone, days: h.Days, margin: h.Margin.Std(), hours: h, from: sinceMidnight(from), to: sinceMidnight(to)}
	if r.to <= r.from {
		r.to += 24 * time.Hour
	}
	return r, nil
}

func sinceMidnight(t time.Time) time.Duration {
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
}

// covers reports whether the rule applies to all work in the scope. A rule that
// restricts a field that is empty in the scope does not.
func (r *quietRule) covers(s Scope) bool {
	allows := func(list []string, value string) bool { return len(list) == 0 || slices.Contains(list, value) }
	return allows(r.hours.DataCentres, s.DataCentre) && allows(r.hours.Pools, s.Pool) &&
		allows(r.hours.Models, s.Model) && allows(r.hours.Organisations, s.Organisation)
}

// windows returns the rule's windows around now, in order.
func (r *quietRule) windows(now time.Time) []Window {
	var out []Window
	day := now.In(r.zone).AddDate(0, 0, -daysBack)
	for range daysBack + daysAhead {
		date := time.Date(day.Year(), day.Month(), day.Day(), 0, 0, 0, 0, time.UTC)
		day = day.AddDate(0, 0, 1)
		if len(r.days) > 0 && !slices.Contains(r.days, weekdays[date.Weekday()]) {
			continue
		}
		out = append(out, Window{Name: r.name, From: earliestInstant(r.zone, date.Add(r.from)).Add(-r.margin), To: latestInstant(r.zone, date.Add(r.to)).Add(r.margin)})
	}
	return out
}

// QuietWindows holds the windows of all rules, computed for the days around one moment.
// It is immutable.
type QuietWindows struct {
	rules      []quietRule
	windows    [][]Window // by rule
	computedAt time.Time
}

// validFor is how long before and after the moment of their computation windows
// may be used.
const validFor = 24 * time.Hour

// WindowsAround computes the windows around now.
func (q *QuietSchedule) WindowsAround(now time.Time) *QuietWindows {
	h := &QuietWindows{rules: q.rules, computedAt: now}
	for i := range q.rules {
		h.windows = append(h.windows, q.rules[i].windows(now))
	}
	return h
}

// IsValid reports whether h may be used at now.
func (h *QuietWindows) IsValid(now time.Time) bool {
	return !now.Before(h.computedAt.Add(-validFor)) && now.Before(h.computedAt.Add(validFor))
}

// Next returns the window for the scope that is open at now or else opens next.
// It returns false if there is none. Adjacent and overlapping windows are merged.
func (h *QuietWindows) Next(now time.Time, s Scope) (Window, bool) {
	w, ok := h.earliest(now, s)
	if !ok {
		return w, false
	}
	for range len(h.rules) * daysAhead {
		after, more := h.earliest(w.To, s)
		if !more || after.From.After(w.To) {
			break
		}
		w.To = after.To
	}
	return w, true
}

// earliest returns the earliest window for the scope that has not ended.
func (h *QuietWindows) earliest(now time.Time, s Scope) (Window, bool) {
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

// CurrentOrNext returns the present or next window of each rule, for operators.
func (h *QuietWindows) CurrentOrNext(now time.Time) []Window {
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

// wallClockInstants returns the moments at which a zone's clock shows the wall
// time, which is given as if it were UTC. There are none if a clock change skips
// the wall time and two if a clock change repeats it.
func wallClockInstants(zone *time.Location, wall time.Time) []time.Time {
	var out []time.Time
	for _, near := range []time.Time{wall.Add(-maxZoneOffset), wall.Add(maxZoneOffset)} {
		_, offset := near.In(zone).Zone()
		t := wall.Add(-time.Duration(offset) * time.Second)
		if _, offsetThen := t.In(zone).Zone(); offsetThen == offset && !slices.ContainsFunc(out, t.Equal) {
			out = append(out, t)
		}
	}
	return out
}

// earliestInstant returns the first moment at which the zone's clock has reached
// the wall time. That is the clock change itself if it skips the wall time.
func earliestInstant(zone *time.Location, wall time.Time) time.Time {
	instants := wallClockInstants(zone, wall)
	if len(instants) == 0 {
		return clockChange(zone, wall)
	}
	return slices.MinFunc(instants, time.Time.Compare)
}

// latestInstant returns the last moment at which the zone's clock reaches the wall
// time. That is the clock change itself if it skips the wall time.
func latestInstant(zone *time.Location, wall time.Time) time.Time {
	instants := wallClockInstants(zone, wall)
	if len(instants) == 0 {
		return clockChange(zone, wall)
	}
	return slices.MaxFunc(instants, time.Time.Compare)
}

// clockChange returns the clock change that skips the wall time.
func clockChange(zone *time.Location, wall time.Time) time.Time {
	_, before := wall.Add(-maxZoneOffset).In(zone).Zone()
	start, _ := wall.Add(-time.Duration(before) * time.Second).In(zone).ZoneBounds()
	return start
}
