package config

import (
	"fmt"
	"maps"
	"math"
	"net/url"
	"slices"
	"strings"
	"time"
)

// Default values of keys that a configuration folder leaves out.
const (
	DefaultWeight        = 1.0
	DefaultQualityTarget = 0.8
	DefaultSlots         = 16
	DefaultKVTokens      = 200_000
	DefaultFirstToken    = 910 * time.Millisecond
	DefaultDeadline      = 60 * time.Second
	DefaultQuietMargin   = 2 * time.Second
)

// Limits of values.
const (
	// MaxDeadline is the longest time that a request may take.
	MaxDeadline = 10 * time.Minute
	minWeight   = 0.001
	maxWeight   = 1000.0
	maxSlots    = 4096
	maxCost     = 1_000_000_000_000
	keySumBytes = 32
	timeOfDay   = "15:04"
	maxMargin   = time.Hour
)

// applyDefaults sets the keys that the folder leaves out, which are zero.
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

// checker finds the first fault of a configuration and the file that set the key.
type checker struct {
	c     *Config
	files keyFiles
}

// fault returns a *FolderError for a key.
func (k checker) fault(key, format string, args ...any) error {
	return &FolderError{File: k.fileOf(key), Key: key, Remedy: fmt.Sprintf(format, args...)}
}

// fileOf returns the file that set key, or else the nearest enclosing table; empty
// if there is none.
func (k checker) fileOf(key string) string {
	for key != "" {
		if f, ok := k.files[key]; ok {
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

// check returns the first fault of the merged configuration as a *FolderError.
// The order of checks is fixed, so that the same folder always gives the same
// message.
func (c *Config) check(files keyFiles) error {
	k := checker{c: c, files: files}
	for _, step := range []func() error{k.checkNames, k.checkRanks, k.checkModels, k.checkPools, k.checkServices, k.checkDefaultVersions, k.checkOrganisations, k.checkQuietHours, k.checkRollouts} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// Names returns the keys of a table in lexical order.
func Names[V any](m map[string]V) []string { return sortedKeys(m) }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// inRange reports whether v is a number from low to high; NaN is not.
func inRange(v, low, high float64) bool {
	return !math.IsNaN(v) && v >= low && v <= high
}

// checkNames checks the names in all tables.
func (k checker) checkNames() error {
	for _, table := range []struct {
		key   string
		names []string
	}{
		{"rank", sortedKeys(k.c.Ranks)}, {"model", sortedKeys(k.c.Models)}, {"pool", sortedKeys(k.c.Pools)},
		{"service", sortedKeys(k.c.Services)}, {"organisation", sortedKeys(k.c.Organisations)},
		{"quiet_hours", sortedKeys(k.c.QuietHours)}, {"rollout", sortedKeys(k.c.Rollouts)},
	} {
		if err := k.checkTableNames(table.key, table.names); err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(k.c.Models) {
		if err := k.checkTableNames("model."+name+".version", sortedKeys(k.c.Models[name].Versions)); err != nil {
			return err
		}
	}
	return nil
}

func (k checker) checkTableNames(table string, names []string) error {
	for _, name := range names {
		if !validName(name) {
			return k.fault(table+"."+name, "%q is not a name: %s", name, nameRule)
		}
	}
	return nil
}

// checkRanks checks each rank, that orders are unique and that the floors add up
// to at most 1.
func (k checker) checkRanks() error {
	names := sortedKeys(k.c.Ranks)
	if len(names) == 0 {
		return k.fault("rank", "no rank is defined: add at least one [rank.NAME] table")
	}
	floorSum := 0.0
	orders := map[int]string{}
	for _, name := range names {
		r := k.c.Ranks[name]
		if err := k.checkRank("rank."+name, r, len(names)); err != nil {
			return err
		}
		if other, ok := orders[r.Order]; ok {
			return k.fault("rank."+name+".order", "%d is also the order of rank %s: give each rank its own", r.Order, other)
		}
		orders[r.Order] = name
		floorSum += r.Floor
	}
	if floorSum > 1 {
		return k.fault("rank", "the floors add up to %g: lower them to at most 1", floorSum)
	}
	return nil
}

func (k checker) checkRank(key string, r *Rank, count int) error {
	if r.Order < 0 || r.Order >= count {
		return k.fault(key+".order", "%d is out of range: number the ranks from 0, the most urgent, to %d", r.Order, count-1)
	}
	if !inRange(r.Floor, 0, 1) {
		return k.fault(key+".floor", "%g is outside 0 to 1: write the share of a replica that the rank keeps", r.Floor)
	}
	if d := r.Deadline.Std(); d < 0 || d > MaxDeadline {
		return k.fault(key+".deadline", "%s is out of range: write more than 0s and at most %s", d, MaxDeadline)
	}
	if r.FirstToken < 0 || r.FirstToken > r.Deadline {
		return k.fault(key+".first_token", "%s is out of range: write more than 0s and at most the deadline, %s", r.FirstToken.Std(), r.Deadline.Std())
	}
	return nil
}

// checkModels checks each model with its versions and its default version.
func (k checker) checkModels() error {
	for _, name := range sortedKeys(k.c.Models) {
		m := k.c.Models[name]
		key := "model." + name
		if len(m.Versions) == 0 {
			return k.fault(key, "has no version: add [%s.version.NAME]", key)
		}
		if m.Default == "" {
			return k.fault(key+".default", "is missing: name one of %s", strings.Join(sortedKeys(m.Versions), ", "))
		}
		if m.Versions[m.Default] == nil {
			return k.fault(key+".default", "version %q does not exist%s", m.Default, nearestHint(m.Default, sortedKeys(m.Versions)))
		}
		for _, version := range sortedKeys(m.Versions) {
			if err := k.checkVersion(key+".version."+version, m.Versions[version]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (k checker) checkVersion(key string, v *Version) error {
	if !inRange(v.Quality, 0, 1) {
		return k.fault(key+".quality", "%g is outside 0 to 1: write the chance that an answer passes", v.Quality)
	}
	if v.CostPerMillionTokens < 0 || v.CostPerMillionTokens > maxCost {
		return k.fault(key+".cost_per_million_tokens", "%d is out of range: write a price of 0 to %d", v.CostPerMillionTokens, int64(maxCost))
	}
	return nil
}

// checkTarget checks that t names an existing model and an existing version. The
// version may be absent unless needVersion is true.
func (k checker) checkTarget(key string, t Target, needVersion bool) error {
	m := k.c.Models[t.Model]
	if m == nil {
		return k.fault(key, "model %q does not exist%s", t.Model, nearestHint(t.Model, sortedKeys(k.c.Models)))
	}
	if t.Version == "" && needVersion {
		return k.fault(key, "%q names no version: write model@version", t.Model)
	}
	if t.Version != "" && m.Versions[t.Version] == nil {
		return k.fault(key, "version %q of model %q does not exist%s", t.Version, t.Model, nearestHint(t.Version, sortedKeys(m.Versions)))
	}
	return nil
}

// checkPools checks each pool and its targets.
func (k checker) checkPools() error {
	for _, name := range sortedKeys(k.c.Pools) {
		p := k.c.Pools[name]
		key := "pool." + name
		if p.Slots < 0 || p.Slots > maxSlots {
			return k.fault(key+".slots", "%d is out of range: write 1 to %d", p.Slots, maxSlots)
		}
		if p.KVTokens < 0 {
			return k.fault(key+".kv_tokens", "%d is negative: write the number of tokens that fit", p.KVTokens)
		}
		if len(p.Targets) == 0 {
			return k.fault(key+".targets", "is empty: list the versions that the pool may load, as \"model@version\"")
		}
		for i, t := range p.Targets {
			if err := k.checkTarget(key+".targets", t, true); err != nil {
				return err
			}
			if slices.Contains(p.Targets[:i], t) {
				return k.fault(key+".targets", "%s stands twice: remove one", t)
			}
		}
	}
	return nil
}

// checkServices checks each plain service. Its name must differ from those of
// pools.
func (k checker) checkServices() error {
	for _, name := range sortedKeys(k.c.Services) {
		s := k.c.Services[name]
		key := "service." + name
		if k.c.Pools[name] != nil {
			return k.fault(key, "is also the name of a pool: rename one")
		}
		if s.Slots < 0 || s.Slots > maxSlots {
			return k.fault(key+".slots", "%d is out of range: write 1 to %d", s.Slots, maxSlots)
		}
		for _, call := range s.OnceCalls {
			if !validCall(call) {
				return k.fault(key+".once_calls", "%q is not a call: write \"METHOD /path\", such as \"POST /seats/*\"", call)
			}
		}
	}
	return nil
}

// validCall reports whether call consists of a method in capitals and a path in
// canonical escaping. A "*" is allowed only as the last character of the path.
func validCall(call string) bool {
	method, path, ok := strings.Cut(call, " ")
	if !ok || method == "" || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return false
	}
	path = strings.TrimSuffix(path, "*")
	decoded, err := url.PathUnescape(path)
	return err == nil && strings.HasPrefix(path, "/") && (&url.URL{Path: decoded}).EscapedPath() == path
}

// checkDefaultVersions checks that some pool serves each model's default version.
func (k checker) checkDefaultVersions() error {
	for _, name := range sortedKeys(k.c.Models) {
		t := Target{Model: name, Version: k.c.Models[name].Default}
		if !k.isServed(t) {
			return k.fault("model."+name+".default", "no pool serves %s: add it to the targets of a pool", t)
		}
	}
	return nil
}

// isServed reports whether some pool may load t.
func (k checker) isServed(t Target) bool {
	for _, p := range k.c.Pools {
		if slices.Contains(p.Targets, t) {
			return true
		}
	}
	return false
}
