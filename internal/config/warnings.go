package config

import (
	"fmt"
	"slices"
	"time"

	// The embedded database makes the time zones of quiet hours available on
	// VMs without a time zone database.
	_ "time/tzdata"
)

const minutesPerDay = 24 * 60

// Warnings lists parts of a valid configuration that are probably mistakes, in a
// fixed order.
func (c *Config) Warnings() []string {
	return slices.Concat(c.organisationWarnings(), c.versionWarnings(), c.quietHoursWarnings())
}

func (c *Config) organisationWarnings() []string {
	var out []string
	for _, name := range sortedKeys(c.Organisations) {
		o := c.Organisations[name]
		if len(o.KeysSHA256) == 0 {
			out = append(out, fmt.Sprintf("organisation.%s.keys_sha256 is empty: nobody can call on its behalf", name))
		}
		if len(o.Allow) == 0 && len(o.Services) == 0 {
			out = append(out, fmt.Sprintf("organisation.%s: allow and services are empty: every request of it is refused", name))
		}
	}
	return out
}

func (c *Config) versionWarnings() []string {
	var out []string
	k := checker{c: c}
	for _, model := range sortedKeys(c.Models) {
		m := c.Models[model]
		for _, version := range sortedKeys(m.Versions) {
			if t := (Target{Model: model, Version: version}); !k.isServed(t) {
				out = append(out, fmt.Sprintf("model.%s.version.%s: no pool serves %s", model, version, t))
			}
		}
		if m.Versions[m.Default].Withdrawn {
			out = append(out, fmt.Sprintf("model.%s.default: version %s is withdrawn: the model takes no new work", model, m.Default))
		}
	}
	return out
}

func (c *Config) quietHoursWarnings() []string {
	var out []string
	names := sortedKeys(c.QuietHours)
	for i, a := range names {
		for _, b := range names[i+1:] {
			if c.QuietHours[a].overlaps(c.QuietHours[b]) {
				out = append(out, fmt.Sprintf("quiet_hours.%s and quiet_hours.%s overlap: both hold, the longer wins", a, b))
			}
		}
	}
	return out
}

// overlaps reports whether two windows of the same time zone cover the same work
// in the same minute of the week.
func (q *QuietHours) overlaps(other *QuietHours) bool {
	if q.Zone != other.Zone {
		return false
	}
	for _, scope := range [][2][]string{
		{q.DataCentres, other.DataCentres}, {q.Pools, other.Pools}, {q.Models, other.Models}, {q.Organisations, other.Organisations},
	} {
		if !scopesIntersect(scope[0], scope[1]) {
			return false
		}
	}
	week := q.minutes()
	for minute, isQuiet := range other.minutes() {
		if isQuiet && week[minute] {
			return true
		}
	}
	return false
}

// scopesIntersect reports whether two lists have a name in common. An empty list
// covers all names.
func scopesIntersect(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}

// minutes returns whether each minute of a week that begins on Sunday is quiet.
func (q *QuietHours) minutes() []bool {
	week := make([]bool, len(weekdays)*minutesPerDay)
	from, to := minuteOfDay(q.From), minuteOfDay(q.To)
	length := (to - from + minutesPerDay) % minutesPerDay
	if length == 0 {
		length = minutesPerDay
	}
	for day, name := range weekdays {
		if len(q.Days) > 0 && !slices.Contains(q.Days, name) {
			continue
		}
		for i := range length {
			week[(day*minutesPerDay+from+i)%len(week)] = true
		}
	}
	return week
}

// minuteOfDay parses a validated time of day.
func minuteOfDay(s string) int {
	t, err := time.Parse(timeOfDay, s)
	if err != nil {
		return 0
	}
	return t.Hour()*60 + t.Minute()
}
