package config

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// checkOrganisations checks each organisation, and that no two share a key.
func (k checker) checkOrganisations() error {
	owners := map[string]string{}
	for _, name := range sortedKeys(k.c.Organisations) {
		o := k.c.Organisations[name]
		key := "organisation." + name
		if err := k.checkKeys(key+".keys_sha256", name, o, owners); err != nil {
			return err
		}
		if err := k.checkPermissions(key, o); err != nil {
			return err
		}
		if o.DefaultRank == "" {
			return k.fault(key+".default_rank", "is missing: name one of %s", strings.Join(sortedKeys(k.c.Ranks), ", "))
		}
		if k.c.Ranks[o.DefaultRank] == nil {
			return k.fault(key+".default_rank", "rank %q does not exist%s", o.DefaultRank, nearestHint(o.DefaultRank, sortedKeys(k.c.Ranks)))
		}
		if !inRange(o.Weight, minWeight, maxWeight) {
			return k.fault(key+".weight", "%g is out of range: write %g to %g", o.Weight, minWeight, maxWeight)
		}
		if !inRange(o.QualityTarget, 0, 1) {
			return k.fault(key+".quality_target", "%g is outside 0 to 1: write the least chance that an answer passes", o.QualityTarget)
		}
	}
	return nil
}

// checkKeys checks the key sums of an organisation. owners maps a key sum to its
// organisation.
func (k checker) checkKeys(key, name string, o *Organisation, owners map[string]string) error {
	for _, sum := range o.KeysSHA256 {
		raw, err := hex.DecodeString(sum)
		if err != nil || len(raw) != keySumBytes || sum != strings.ToLower(sum) {
			return k.fault(key, "%.12q is not a sum: write the 64 lower-case hex digits of the key's SHA-256", sum)
		}
		if other, ok := owners[sum]; ok {
			return k.fault(key, "organisation %s has the same key: give each its own", other)
		}
		owners[sum] = name
	}
	return nil
}

// checkPermissions checks that the allowed models, versions and services exist.
func (k checker) checkPermissions(key string, o *Organisation) error {
	for _, t := range o.Allow {
		if err := k.checkTarget(key+".allow", t, false); err != nil {
			return err
		}
	}
	for _, s := range o.Services {
		if k.c.Services[s] == nil {
			return k.fault(key+".services", "service %q does not exist%s", s, nearestHint(s, sortedKeys(k.c.Services)))
		}
	}
	return nil
}

// checkQuietHours checks each window and that the names in its scope exist.
func (k checker) checkQuietHours() error {
	for _, name := range sortedKeys(k.c.QuietHours) {
		q := k.c.QuietHours[name]
		key := "quiet_hours." + name
		if err := k.checkWindow(key, q); err != nil {
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
			{"pools", q.Pools, slices.Concat(sortedKeys(k.c.Pools), sortedKeys(k.c.Services))},
			{"models", q.Models, sortedKeys(k.c.Models)},
			{"organisations", q.Organisations, sortedKeys(k.c.Organisations)},
		} {
			if err := k.checkKnown(key+"."+scope.key, scope.names, scope.known); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkWindow checks a daily window's time zone, times and margin.
func (k checker) checkWindow(key string, q *QuietHours) error {
	// "Local" is refused because nodes may differ in their local time zone.
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

// checkKnown checks that each name is one of the known names.
func (k checker) checkKnown(key string, names, known []string) error {
	for _, n := range names {
		if !slices.Contains(known, n) {
			return k.fault(key, "%q does not exist%s", n, nearestHint(n, known))
		}
	}
	return nil
}

// checkRollouts checks each roll-out. Some pool must serve its new version.
func (k checker) checkRollouts() error {
	for _, name := range sortedKeys(k.c.Rollouts) {
		r := k.c.Rollouts[name]
		key := "rollout." + name
		if k.c.Models[r.Model] == nil {
			return k.fault(key+".model", "model %q does not exist%s", r.Model, nearestHint(r.Model, sortedKeys(k.c.Models)))
		}
		if err := k.checkTarget(key+".from", Target{r.Model, r.From}, true); err != nil {
			return err
		}
		to := Target{r.Model, r.To}
		if err := k.checkTarget(key+".to", to, true); err != nil {
			return err
		}
		if r.From == r.To {
			return k.fault(key+".to", "%q is also the version in place: name another", r.To)
		}
		if !k.isServed(to) {
			return k.fault(key+".to", "no pool serves %s: add it to the targets of a pool", to)
		}
		if err := k.checkStages(key+".stages", r.Stages); err != nil {
			return err
		}
	}
	return nil
}

// checkStages checks the stages of a roll-out. Their percentages must not fall.
func (k checker) checkStages(key string, stages []Stage) error {
	if len(stages) == 0 {
		return k.fault(key, "is empty: add at least one stage")
	}
	last := 0.0
	for _, s := range stages {
		if !inRange(s.Percent, last, 100) {
			return k.fault(key, "percent %g comes after %g: stages rise from 0 to 100 and never fall", s.Percent, last)
		}
		if s.Bake < 0 {
			return k.fault(key, "bake %s is negative: write 0s or more", s.Bake.Std())
		}
		last = s.Percent
	}
	return nil
}
