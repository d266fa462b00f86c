package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Defaults of values that a folder leaves out.
const (
	DefaultWeight        = 1.0
	DefaultQualityTarget = 0.8
	DefaultSlots         = 16
	DefaultKVTokens      = 200_000
	DefaultFirstToken    = 910 * time.Millisecond
	DefaultDeadline      = 60 * time.Second
	DefaultQuietMargin   = 2 * time.Second
)

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

func (c *Config) applyDefaults() {
	for _, o := range c.Organisations {
		if o.Weight == 0 {
			o.Weight = DefaultWeight
		}
		if o.QualityTarget == 0 {
			o.QualityTarget = DefaultQualityTarget
		}
	}
	for _, p := range c.Pools {
		if p.Slots == 0 {
			p.Slots = DefaultSlots
		}
		if p.KVTokens == 0 {
			p.KVTokens = DefaultKVTokens
		}
	}
	for _, s := range c.Services {
		if s.Slots == 0 {
			s.Slots = DefaultSlots
		}
	}
	for _, q := range c.QuietHours {
		if q.Margin == 0 {
			q.Margin = Duration(DefaultQuietMargin)
		}
	}
	for _, r := range c.Ranks {
		if r.FirstToken == 0 {
			r.FirstToken = Duration(DefaultFirstToken)
		}
		if r.Deadline == 0 {
			r.Deadline = Duration(DefaultDeadline)
		}
	}
}

// checker gathers the first fault with the file that set the key.
type checker struct {
	c    *Config
	from origins
}

func (k checker) fault(key, format string, args ...any) error {
	return &FolderError{File: k.fileOf(key), Key: key, Remedy: fmt.Sprintf(format, args...)}
}

// fileOf returns the file that set key, or the nearest table above it.
func (k checker) fileOf(key string) string {
	for key != "" {
		if f, ok := k.from[key]; ok {
			return f
		}
		i := strings.LastIndex(key, ".")
		if i < 0 {
			return ""
		}
		key = key[:i]
	}
	return ""
}

// check returns the first fault of the merged configuration, in the order of
// the names so that the same folder always gives the same message.
func (c *Config) check(from origins) error {
	k := checker{c: c, from: from}
	for _, step := range []func() error{k.ranks, k.models, k.pools, k.services, k.organisations, k.quietHours, k.rollouts} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// Names returns the keys of a table in their order.
func Names[V any](m map[string]V) []string { return sorted(m) }

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (k checker) ranks() error {
	if len(k.c.Ranks) == 0 {
		return k.fault("rank", "no rank is defined: add at least one [rank.NAME] table")
	}
	sum := 0.0
	orders := map[int]string{}
	for _, name := range sorted(k.c.Ranks) {
		r := k.c.Ranks[name]
		key := "rank." + name
		if r.Floor < 0 || r.Floor > 1 {
			return k.fault(key+".floor", "%g is outside 0 to 1: write the share of a replica that the rank keeps", r.Floor)
		}
		if other, ok := orders[r.Order]; ok {
			return k.fault(key+".order", "%d is also the order of rank %s: give each rank its own", r.Order, other)
		}
		if r.Deadline < 0 || r.FirstToken < 0 {
			return k.fault(key, "a duration is negative: write one above zero")
		}
		orders[r.Order] = name
		sum += r.Floor
	}
	if sum > 1 {
		return k.fault("rank", "the floors add up to %g: lower them to at most 1", sum)
	}
	return nil
}

func (k checker) models() error {
	for _, name := range sorted(k.c.Models) {
		m := k.c.Models[name]
		key := "model." + name
		if strings.ContainsAny(name, "@/ ") {
			return k.fault(key, "a model's name holds no \"@\", \"/\" or space: rename it")
		}
		if len(m.Versions) == 0 {
			return k.fault(key, "has no version: add [%s.version.NAME]", key)
		}
		if m.Versions[m.Default] == nil {
			return k.fault(key+".default", "version %q does not exist%s", m.Default, nearestHint(m.Default, sorted(m.Versions)))
		}
		for _, version := range sorted(m.Versions) {
			v := m.Versions[version]
			if v.Quality < 0 || v.Quality > 1 {
				return k.fault(key+".version."+version+".quality", "%g is outside 0 to 1: write the chance that an answer passes", v.Quality)
			}
			if v.CostPerMillionTokens < 0 {
				return k.fault(key+".version."+version+".cost_per_million_tokens", "is negative: write a price of 0 or more")
			}
		}
	}
	return nil
}

// target checks that t names a known model and, if any, a known version.
func (k checker) target(key string, t Target, needVersion bool) error {
	m := k.c.Models[t.Model]
	if m == nil {
		return k.fault(key, "model %q does not exist%s", t.Model, nearestHint(t.Model, sorted(k.c.Models)))
	}
	if t.Version == "" && needVersion {
		return k.fault(key, "%q names no version: write model@version", t.Model)
	}
	if t.Version != "" && m.Versions[t.Version] == nil {
		return k.fault(key, "version %q of model %q does not exist%s", t.Version, t.Model, nearestHint(t.Version, sorted(m.Versions)))
	}
	return nil
}

func (k checker) pools() error {
	for _, name := range sorted(k.c.Pools) {
		p := k.c.Pools[name]
		key := "pool." + name
		if p.Slots < 0 || p.KVTokens < 0 {
			return k.fault(key, "slots and kv_tokens must be above zero")
		}
		for _, t := range p.Targets {
			if err := k.target(key+".targets", t, true); err != nil {
				return err
			}
		}
	}
	return nil
}

func (k checker) services() error {
	for _, name := range sorted(k.c.Services) {
		s := k.c.Services[name]
		key := "service." + name
		if s.Slots < 0 {
			return k.fault(key+".slots", "must be above zero")
		}
		for _, call := range s.OnceCalls {
			method, path, ok := strings.Cut(call, " ")
			if !ok || method == "" || !strings.HasPrefix(path, "/") {
				return k.fault(key+".once_calls", "%q is not a call: write \"METHOD /path\"", call)
			}
		}
	}
	return nil
}

func (k checker) organisations() error {
	owner := map[string]string{}
	for _, name := range sorted(k.c.Organisations) {
		o := k.c.Organisations[name]
		key := "organisation." + name
		for _, sum := range o.KeysSHA256 {
			if len(sum) != 64 {
				return k.fault(key+".keys_sha256", "a key's sum has %d characters: write the 64 hex digits of its SHA-256", len(sum))
			}
			if other, ok := owner[sum]; ok {
				return k.fault(key+".keys_sha256", "organisation %s has the same key: give each its own", other)
			}
			owner[sum] = name
		}
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
		if k.c.Ranks[o.DefaultRank] == nil {
			return k.fault(key+".default_rank", "rank %q does not exist%s", o.DefaultRank, nearestHint(o.DefaultRank, sorted(k.c.Ranks)))
		}
		if o.Weight < 0 || o.QualityTarget < 0 || o.QualityTarget > 1 {
			return k.fault(key, "weight must be above 0 and quality_target within 0 to 1")
		}
	}
	return nil
}

func (k checker) quietHours() error {
	for _, name := range sorted(k.c.QuietHours) {
		q := k.c.QuietHours[name]
		key := "quiet_hours." + name
		if _, err := time.LoadLocation(q.Zone); err != nil || q.Zone == "" {
			return k.fault(key+".zone", "%q is not a time zone: write an IANA name such as \"Europe/Helsinki\"", q.Zone)
		}
		for field, value := range map[string]string{"from": q.From, "to": q.To} {
			if _, err := time.Parse("15:04", value); err != nil {
				return k.fault(key+"."+field, "%q is not a time of day: write hours and minutes, such as \"22:30\"", value)
			}
		}
		for _, d := range q.Days {
			if !slices.Contains(weekdays, d) {
				return k.fault(key+".days", "%q is not a weekday%s", d, nearestHint(d, weekdays))
			}
		}
		if q.Margin < 0 {
			return k.fault(key+".margin", "is negative: write by how much clocks may be wrong, such as \"2s\"")
		}
		if err := k.quietScope(key, q); err != nil {
			return err
		}
	}
	return nil
}

// quietScope checks that what a window covers exists; a misspelt name would
// leave the window without effect.
func (k checker) quietScope(key string, q *QuietHours) error {
	pools := append(sorted(k.c.Pools), sorted(k.c.Services)...)
	for _, scope := range []struct {
		field  string
		listed []string
		known  []string
	}{
		{"pools", q.Pools, pools},
		{"models", q.Models, sorted(k.c.Models)},
		{"organisations", q.Organisations, sorted(k.c.Organisations)},
	} {
		for _, name := range scope.listed {
			if !slices.Contains(scope.known, name) {
				return k.fault(key+"."+scope.field, "%q does not exist%s", name, nearestHint(name, scope.known))
			}
		}
	}
	return nil
}

func (k checker) rollouts() error {
	for _, name := range sorted(k.c.Rollouts) {
		r := k.c.Rollouts[name]
		key := "rollout." + name
		if err := k.target(key+".from", Target{r.Model, r.From}, true); err != nil {
			return err
		}
		if err := k.target(key+".to", Target{r.Model, r.To}, true); err != nil {
			return err
		}
		last := 0.0
		for _, s := range r.Stages {
			if s.Percent < last || s.Percent > 100 {
				return k.fault(key+".stages", "percent %g: stages rise from 0 to 100 and never fall", s.Percent)
			}
			last = s.Percent
		}
		if len(r.Stages) == 0 {
			return k.fault(key+".stages", "is empty: add at least one stage")
		}
	}
	return nil
}
