// Package config loads and validates the operators' configuration from a folder
// of TOML files, publishes it as numbered revisions that all nodes use, and loads
// the settings of one process.
package config

import (
	"encoding"
	"fmt"
	"strings"
	"time"
)

// Target names one version of one model, written "model@version".
type Target struct {
	// Model is the model's name.
	Model string
	// Version is the version's name.
	Version string
}

var (
	_ encoding.TextMarshaler   = Target{}
	_ encoding.TextUnmarshaler = (*Target)(nil)
)

// ParseTarget parses "model@version"; the version may be absent.
func ParseTarget(s string) Target {
	model, version, _ := strings.Cut(s, "@")
	return Target{Model: model, Version: version}
}

// String returns "model@version", or "model" where there is no version.
func (t Target) String() string {
	if t.Version == "" {
		return t.Model
	}
	return t.Model + "@" + t.Version
}

// MarshalText implements encoding.TextMarshaler.
func (t Target) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *Target) UnmarshalText(b []byte) error {
	*t = ParseTarget(string(b))
	return nil
}

// Matches reports whether t covers other: the models are equal, and so are the
// versions unless t names none.
func (t Target) Matches(other Target) bool {
	return t.Model == other.Model && (t.Version == "" || t.Version == other.Version)
}

// Duration is a time.Duration that is encoded as text, such as "910ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration: write a number with a unit, such as \"910ms\" or \"10s\"", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Config is the merged and validated content of a configuration folder.
type Config struct {
	// Organisations are the customers, by name.
	Organisations map[string]*Organisation `toml:"organisation" json:"organisation"`
	// Models are the models with their versions, by name.
	Models map[string]*Model `toml:"model" json:"model"`
	// Pools are the groups of model engines, by name.
	Pools map[string]*Pool `toml:"pool" json:"pool"`
	// Services are the plain services, by name.
	Services map[string]*Service `toml:"service" json:"service"`
	// Ranks are the ranks of work, by name.
	Ranks map[string]*Rank `toml:"rank" json:"rank"`
	// QuietHours are the daily windows in which no work may run, by name.
	QuietHours map[string]*QuietHours `toml:"quiet_hours" json:"quiet_hours"`
	// Rollouts are the plans that replace one version by another, by name.
	Rollouts map[string]*Rollout `toml:"rollout" json:"rollout"`
}

// Organisation is one customer.
type Organisation struct {
	// KeysSHA256 are the hex SHA-256 sums of the organisation's bearer keys.
	KeysSHA256 []string `toml:"keys_sha256" json:"keys_sha256"`
	// Allow lists the models ("model") and versions ("model@version") that its
	// requests may use.
	Allow []Target `toml:"allow" json:"allow"`
	// Services lists the plain services that it may call.
	Services []string `toml:"services" json:"services"`
	// Weight is its relative share under contention; default 1.
	Weight float64 `toml:"weight" json:"weight"`
	// QualityTarget is the minimum probability, 0 to 1, that an answer passes
	// its rating; default 0.8.
	QualityTarget float64 `toml:"quality_target" json:"quality_target"`
	// DefaultRank is the rank of a request that names none.
	DefaultRank string `toml:"default_rank" json:"default_rank"`
}

// Model is one model with its versions.
type Model struct {
	// Versions are the versions by name.
	Versions map[string]*Version `toml:"version" json:"version"`
	// Default is the version that requests get unless a roll-out selects
	// another.
	Default string `toml:"default" json:"default"`
}

// Version is one version of a model.
type Version struct {
	// CostPerMillionTokens is the price of a million generated tokens, in
	// micro-units of the operator's currency.
	CostPerMillionTokens int64 `toml:"cost_per_million_tokens" json:"cost_per_million_tokens"`
	// Quality is the prior probability, 0 to 1, that an answer passes its
	// rating.
	Quality float64 `toml:"quality" json:"quality"`
	// Withdrawn stops all new work on the version.
	Withdrawn bool `toml:"withdrawn" json:"withdrawn"`
}

// Pool is a group of model engines that serve the same versions.
type Pool struct {
	// Targets are the versions that the pool may load.
	Targets []Target `toml:"targets" json:"targets"`
	// Slots is the largest number of streams that one replica batches.
	Slots int `toml:"slots" json:"slots"`
	// KVTokens is the number of tokens whose KV cache fits one replica.
	KVTokens int `toml:"kv_tokens" json:"kv_tokens"`
	// ChecksOrders means that its engines refuse orders with an outdated fencing
	// number.
	ChecksOrders bool `toml:"checks_orders" json:"checks_orders"`
}

// Service is a plain service.
type Service struct {
	// OnceCalls lists the calls that must not be repeated, as "METHOD /path". A
	// path that ends in "*" matches all paths with that prefix.
	OnceCalls []string `toml:"once_calls" json:"once_calls"`
	// Slots is the largest number of calls that one replica runs at a time.
	Slots int `toml:"slots" json:"slots"`
	// ChecksFencing means that its replicas refuse a call with an outdated
	// fencing number.
	ChecksFencing bool `toml:"checks_fencing" json:"checks_fencing"`
}

// Rank is one priority class of work.
type Rank struct {
	// Order sorts the ranks; 0 is the most urgent.
	Order int `toml:"order" json:"order"`
	// Floor is the minimum share of a replica, 0 to 1, that the rank keeps when
	// more urgent ranks have enough work to fill it.
	Floor float64 `toml:"floor" json:"floor"`
	// FirstToken is the target time to the first token.
	FirstToken Duration `toml:"first_token" json:"first_token"`
	// Deadline is the total time that a request may take when its caller gives
	// no deadline.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// Preempts allows the rank to pause streams of less urgent ranks.
	Preempts bool `toml:"preempts" json:"preempts"`
}

// QuietHours is a daily window in which no work may run. With equal times it lasts
// the whole day.
type QuietHours struct {
	// Zone is the IANA name of the time zone.
	Zone string `toml:"zone" json:"zone"`
	// From and To are times of day, such as "22:30"; a window may extend past
	// midnight.
	From string `toml:"from" json:"from"`
	To   string `toml:"to" json:"to"`
	// Days lists weekdays on which the window begins, "mon" to "sun"; none
	// means every day.
	Days []string `toml:"days" json:"days"`
	// Margin is the largest expected clock error. It extends the window at both
	// ends. Default 2s.
	Margin Duration `toml:"margin" json:"margin"`
	// DataCentres, Pools, Models and Organisations limit the work that the
	// window covers; an empty list covers all. Pools also lists plain services.
	DataCentres   []string `toml:"data_centres" json:"data_centres"`
	Pools         []string `toml:"pools" json:"pools"`
	Models        []string `toml:"models" json:"models"`
	Organisations []string `toml:"organisations" json:"organisations"`
}

// Rollout is a plan to replace a version by another in stages.
type Rollout struct {
	// Model is the model's name.
	Model string `toml:"model" json:"model"`
	// From is the current version, To the new one.
	From string `toml:"from" json:"from"`
	To   string `toml:"to" json:"to"`
	// Stages run in order; the share of sessions never falls.
	Stages []Stage `toml:"stages" json:"stages"`
	// Paused keeps the roll-out at its current stage.
	Paused bool `toml:"paused" json:"paused"`
}

// Stage is one step of a roll-out.
type Stage struct {
	// Percent is the share of new sessions that get the new version, 0 to 100.
	Percent float64 `toml:"percent" json:"percent"`
	// Bake is the minimum time in the stage before the next one may begin.
	Bake Duration `toml:"bake" json:"bake"`
}
