package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Difference is one value that differs between two configurations.
type Difference struct {
	// Key is the path of the value, such as "organisation.x.weight".
	Key string
	// Old and New are the values as JSON; empty if absent.
	Old string
	New string
}

// String formats the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s = %s", d.Key, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s = %s", d.Key, d.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Key, d.Old, d.New)
	}
}

// Diff returns the differences from one configuration to another, ordered by key.
func Diff(old, next *Config) ([]Difference, error) {
	before, err := flatten(old)
	if err != nil {
		return nil, err
	}
	after, err := flatten(next)
	if err != nil {
		return nil, err
	}
	keys := maps.Clone(before)
	maps.Copy(keys, after)
	var out []Difference
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if before[key] != after[key] {
			out = append(out, Difference{Key: key, Old: before[key], New: after[key]})
		}
	}
	return out, nil
}

// flatten returns the JSON of each leaf of a configuration, by its path.
func flatten(c *Config) (map[string]string, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	var tree any
	if err := json.Unmarshal(body, &tree); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	out := map[string]string{}
	flattenInto(out, "", tree)
	return out, nil
}

// flattenInto adds the leaves of node to out; path is the path of node.
func flattenInto(out map[string]string, path string, node any) {
	table, ok := node.(map[string]any)
	if !ok {
		if leaf, err := json.Marshal(node); err == nil && node != nil {
			out[path] = string(leaf)
		}
		return
	}
	for name, child := range table {
		key := name
		if path != "" {
			key = path + "." + name
		}
		flattenInto(out, key, child)
	}
}
