package config

import (
	"fmt"
	"slices"
	"time"

	// The time zones of quiet hours are the same on VMs without a zone
	// database.
	_ "time/tzdata"
)

const minutesPerDay = 24 * 60

// Warnings lists what a valid configuration allows but an operator hardly
// means, in a fixed order.
func (c *Config) Warnings() []string {
	return slices.Concat(c.organisationWarnings(), c.versionWarnings(), c.quietHoursWarnings())
}

func (c *Config) organisationWarnings() []string {
	var out []string
	for _, name := range sorted(c.Organisations) {
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
	for _, model := range sorted(c.Models) {
		m := c.Models[model]
		for _, version := range sorted(m.Versions) {
			if t := (Target{Model: model, Version: version}); !k.inPool(t) {
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
	names := sorted(c.QuietHours)
	for i, a := range names {
		for _, b := range names[i+1:] {
			if c.QuietHours[a].overlaps(c.QuietHours[b]) {
				out = append(out, fmt.Sprintf("quiet_hours.%s and quiet_hours.%s overlap: both hold, the longer wins", a, b))
			}
		}
	}
	return out
}

// overlaps tells whether two windows of one zone cover the same work at the
// same minute of the week.
func (q *QuietHours) overlaps(o *QuietHours) bool {
	if q.Zone != o.Zone {
		return false
	}
	for _, scope := range [][2][]string{
		{q.DataCentres, o.DataCentres}, {q.Pools, o.Pools}, {q.Models, o.Models}, {q.Organisations, o.Organisations},
	} {
		if !scopesMeet(scope[0], scope[1]) {
			return false
		}
	}
	own := q.minutes()
	for minute, quiet := range o.minutes() {
		if quiet && own[minute] {
			return true
		}
	}
	return false
}

// scopesMeet tells whether two lists have a name in common; an empty list
// covers all.
func scopesMeet(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}

// minutes marks each quiet minute of a week that begins on Sunday.
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

// minuteOfDay reads a checked time of day.
func minuteOfDay(s string) int {
	t, err := time.Parse(timeOfDay, s)
	if err != nil {
		return 0
	}
	return t.Hour()*60 + t.Minute()
}
