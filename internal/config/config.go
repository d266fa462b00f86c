// Package config holds the operators' configuration: the folder of small
// files, its checks, the numbered revisions that every node follows, and the
// settings of one process.
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

// ParseTarget reads "model@version"; the version may be absent.
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

// Matches tells whether t allows other: the same model, and the same version
// unless t names none.
func (t Target) Matches(other Target) bool {
	return t.Model == other.Model && (t.Version == "" || t.Version == other.Version)
}

// Duration is a time.Duration written as text, such as "910ms".
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

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Config is the merged and checked content of a configuration folder.
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
	// Rollouts are the plans that bring versions in, by name.
	Rollouts map[string]*Rollout `toml:"rollout" json:"rollout"`
}

// Organisation is one customer.
type Organisation struct {
	// KeysSHA256 are the hex SHA-256 sums of the organisation's bearer keys.
	KeysSHA256 []string `toml:"keys_sha256" json:"keys_sha256"`
	// Allow lists the models ("model") or versions ("model@version") that its
	// requests may run on.
	Allow []Target `toml:"allow" json:"allow"`
	// Services lists the plain services that it may call.
	Services []string `toml:"services" json:"services"`
	// Weight is its share under contention; default 1.
	Weight float64 `toml:"weight" json:"weight"`
	// QualityTarget is the least chance, 0 to 1, that an answer passes its
	// rating; default 0.8.
	QualityTarget float64 `toml:"quality_target" json:"quality_target"`
	// DefaultRank is the rank of a request that names none.
	DefaultRank string `toml:"default_rank" json:"default_rank"`
}

// Model is one model with its versions.
type Model struct {
	// Versions are the versions by name.
	Versions map[string]*Version `toml:"version" json:"version"`
	// Default names the version that requests get when no roll-out says
	// otherwise.
	Default string `toml:"default" json:"default"`
}

// Version is one version of a model.
type Version struct {
	// CostPerMillionTokens is the price of a million generated tokens, in
	// micro-units of the operator's currency.
	CostPerMillionTokens int64 `toml:"cost_per_million_tokens" json:"cost_per_million_tokens"`
	// Quality is the prior chance, 0 to 1, that an answer passes its rating.
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
	// ChecksOrders tells that its engines refuse orders with an old fencing
	// number.
	ChecksOrders bool `toml:"checks_orders" json:"checks_orders"`
}

// Service is a plain service.
type Service struct {
	// OnceCalls lists the calls that may not be repeated, as "METHOD /path";
	// a path that ends in "*" stands for all paths with that beginning.
	OnceCalls []string `toml:"once_calls" json:"once_calls"`
	// Slots is the largest number of calls that one replica runs at a time.
	Slots int `toml:"slots" json:"slots"`
	// ChecksFencing tells that its replicas refuse a call with an old
	// fencing number.
	ChecksFencing bool `toml:"checks_fencing" json:"checks_fencing"`
}

// Rank is one rank of work.
type Rank struct {
	// Order sorts the ranks; 0 is the most urgent.
	Order int `toml:"order" json:"order"`
	// Floor is the share of a replica, 0 to 1, that the rank keeps while more
	// urgent ranks flood.
	Floor float64 `toml:"floor" json:"floor"`
	// FirstToken is the target time to the first token.
	FirstToken Duration `toml:"first_token" json:"first_token"`
	// Deadline is how long a request may take in all when its caller names
	// no deadline.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// Preempts tells that the rank may pause streams of less urgent ranks.
	Preempts bool `toml:"preempts" json:"preempts"`
}

// QuietHours is a daily window in which no work may run. Equal times make it
// last for the whole day.
type QuietHours struct {
	// Zone is the IANA name of the time zone.
	Zone string `toml:"zone" json:"zone"`
	// From and To are times of day, "22:30"; a window may run past midnight.
	From string `toml:"from" json:"from"`
	To   string `toml:"to" json:"to"`
	// Days lists weekdays on which the window begins, "mon" to "sun"; none
	// means every day.
	Days []string `toml:"days" json:"days"`
	// Margin is by how much clocks may be wrong; the window is that much
	// longer at both ends. Default 2s.
	Margin Duration `toml:"margin" json:"margin"`
	// DataCentres, Pools, Models and Organisations limit what the window
	// covers; an empty list covers all. Pools lists plain services as well.
	DataCentres   []string `toml:"data_centres" json:"data_centres"`
	Pools         []string `toml:"pools" json:"pools"`
	Models        []string `toml:"models" json:"models"`
	Organisations []string `toml:"organisations" json:"organisations"`
}

// Rollout is a plan that brings a version in, stage by stage.
type Rollout struct {
	// Model is the model's name.
	Model string `toml:"model" json:"model"`
	// From is the version in place, To the new one.
	From string `toml:"from" json:"from"`
	To   string `toml:"to" json:"to"`
	// Stages are taken in order; the share of sessions never falls.
	Stages []Stage `toml:"stages" json:"stages"`
	// Paused keeps the plan at its present stage.
	Paused bool `toml:"paused" json:"paused"`
}

// Stage is one step of a roll-out.
type Stage struct {
	// Percent is the share of new sessions that get the new version, 0 to 100.
	Percent float64 `toml:"percent" json:"percent"`
	// Bake is how long the stage lasts before the next may begin.
	Bake Duration `toml:"bake" json:"bake"`
}
