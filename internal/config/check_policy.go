package config

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// organisations checks each organisation, and that no two share a key.
func (k checker) organisations() error {
	owner := map[string]string{}
	for _, name := range sorted(k.c.Organisations) {
		o := k.c.Organisations[name]
		key := "organisation." + name
		if err := k.keys(key+".keys_sha256", name, o, owner); err != nil {
			return err
		}
		if err := k.permissions(key, o); err != nil {
			return err
		}
		if o.DefaultRank == "" {
			return k.fault(key+".default_rank", "is missing: name one of %s", strings.Join(sorted(k.c.Ranks), ", "))
		}
		if k.c.Ranks[o.DefaultRank] == nil {
			return k.fault(key+".default_rank", "rank %q does not exist%s", o.DefaultRank, nearestHint(o.DefaultRank, sorted(k.c.Ranks)))
		}
		if !within(o.Weight, minWeight, maxWeight) {
			return k.fault(key+".weight", "%g is out of range: write %g to %g", o.Weight, minWeight, maxWeight)
		}
		if !within(o.QualityTarget, 0, 1) {
			return k.fault(key+".quality_target", "%g is outside 0 to 1: write the least chance that an answer passes", o.QualityTarget)
		}
	}
	return nil
}

func (k checker) keys(key, name string, o *Organisation, owner map[string]string) error {
	for _, sum := range o.KeysSHA256 {
		raw, err := hex.DecodeString(sum)
		if err != nil || len(raw) != keySumBytes || sum != strings.ToLower(sum) {
			return k.fault(key, "%.12q is not a sum: write the 64 lower-case hex digits of the key's SHA-256", sum)
		}
		if other, ok := owner[sum]; ok {
			return k.fault(key, "organisation %s has the same key: give each its own", other)
		}
		owner[sum] = name
	}
	return nil
}

func (k checker) permissions(key string, o *Organisation) error {
	for _, t := range o.Allow {
		if err := k.target(key+".allow", t, false); err != nil {
			return err
		}
	}
	for _, s := range o.Services {
		if k.c.Services[s] == nil {
			return k.fault(key+".services", "service %q does not exist%s", s, nearestHint(s, sorted(k.c.Services)))
		}
	}
	return nil
}

func (k checker) quietHours() error {
	for _, name := range sorted(k.c.QuietHours) {
		q := k.c.QuietHours[name]
		key := "quiet_hours." + name
		if err := k.window(key, q); err != nil {
			return err
		}
		for _, d := range q.Days {
			if !slices.Contains(weekdays, d) {
				return k.fault(key+".days", "%q is not a weekday%s", d, nearestHint(d, weekdays))
			}
		}
		for _, scope := range []struct {
			key          string
			names, known []string
		}{
			{"pools", q.Pools, slices.Concat(sorted(k.c.Pools), sorted(k.c.Services))},
			{"models", q.Models, sorted(k.c.Models)},
			{"organisations", q.Organisations, sorted(k.c.Organisations)},
		} {
			if err := k.known(key+"."+scope.key, scope.names, scope.known); err != nil {
				return err
			}
		}
	}
	return nil
}

// window checks a daily window's zone and times.
func (k checker) window(key string, q *QuietHours) error {
	// The zone of the process is not the same on every node.
	if _, err := time.LoadLocation(q.Zone); err != nil || q.Zone == "" || q.Zone == "Local" {
		return k.fault(key+".zone", "%q is not a time zone: write an IANA name such as \"Europe/Helsinki\"", q.Zone)
	}
	for _, f := range []struct{ key, value string }{{"from", q.From}, {"to", q.To}} {
		if t, err := time.Parse(timeOfDay, f.value); err != nil || t.Format(timeOfDay) != f.value {
			return k.fault(key+"."+f.key, "%q is not a time of day: write hours and minutes, such as \"22:30\"", f.value)
		}
	}
	if d := q.Margin.Std(); d < 0 || d > maxMargin {
		return k.fault(key+".margin", "%s is out of range: write by how much clocks may be wrong, at most %s", d, maxMargin)
	}
	return nil
}

// known checks that each name is one of those known.
func (k checker) known(key string, names, known []string) error {
	for _, n := range names {
		if !slices.Contains(known, n) {
			return k.fault(key, "%q does not exist%s", n, nearestHint(n, known))
		}
	}
	return nil
}

func (k checker) rollouts() error {
	for _, name := range sorted(k.c.Rollouts) {
		r := k.c.Rollouts[name]
		key := "rollout." + name
		if k.c.Models[r.Model] == nil {
			return k.fault(key+".model", "model %q does not exist%s", r.Model, nearestHint(r.Model, sorted(k.c.Models)))
		}
		if err := k.target(key+".from", Target{r.Model, r.From}, true); err != nil {
			return err
		}
		to := Target{r.Model, r.To}
		if err := k.target(key+".to", to, true); err != nil {
			return err
		}
		if r.From == r.To {
			return k.fault(key+".to", "%q is also the version in place: name another", r.To)
		}
		if !k.inPool(to) {
			return k.fault(key+".to", "no pool serves %s: add it to the targets of a pool", to)
		}
		if err := k.stages(key+".stages", r.Stages); err != nil {
			return err
		}
	}
	return nil
}

func (k checker) stages(key string, stages []Stage) error {
	if len(stages) == 0 {
		return k.fault(key, "is empty: add at least one stage")
	}
	last := 0.0
	for _, s := range stages {
		if !within(s.Percent, last, 100) {
			return k.fault(key, "percent %g comes after %g: stages rise from 0 to 100 and never fall", s.Percent, last)
		}
		if s.Bake < 0 {
			return k.fault(key, "bake %s is negative: write 0s or more", s.Bake.Std())
		}
		last = s.Percent
	}
	return nil
}
