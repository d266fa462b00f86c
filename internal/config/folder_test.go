package config

import (
	"errors"
	"io/fs"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/examples"
)

// valid is the text of a valid folder. Test cases replace a part of it.
const valid = `
[rank.urgent]
order = 0
floor = 0.2
[rank.normal]
order = 1
[model.small]
default = "v1"
[model.small.version.v1]
quality = 0.8
cost_per_million_tokens = 100
[model.small.version.v2]
quality = 0.9
[pool.engines]
targets = ["small@v1", "small@v2"]
[service.booking]
once_calls = ["POST /seats/*"]
[organisation.school]
keys_sha256 = ["20ca3b66a54fb37fa61b3d75eee1dd6c07632b818177bfd7cf271fd656578067"]
allow = ["small"]
services = ["booking"]
default_rank = "normal"
[quiet_hours.night]
zone = "Europe/Helsinki"
from = "22:30"
to = "06:00"
[rollout.next]
model = "small"
from = "v1"
to = "v2"
stages = [{ percent = 10.0, bake = "10m" }]
`

// load loads a folder of files, given as texts by name.
func load(files map[string]string) (*Config, error) {
	folder := fstest.MapFS{}
	for name, text := range files {
		folder[name] = &fstest.MapFile{Data: []byte(text)}
	}
	return LoadFS(folder, "folder")
}

// The example folders load without faults and warnings.
func TestExamplesHaveNoFaultAndNoWarning(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"virtanen", "turnoflor"} {
		folder, err := fs.Sub(examples.Folders, name)
		is.NoErr(err)
		c, err := LoadFS(folder, name)
		is.NoErr(err)
		is.Equal(len(c.Warnings()), 0)
	}
}

// Each fault of a folder names the file, the key and the remedy.
func TestFolderFaults(t *testing.T) {
	for _, c := range []struct{ old, new, key, remedy string }{
		{`[rank.urgent]`, `[rnk.urgent]`, "rnk", "is unknown: did you mean rank?"},
		{`floor = 0.2`, `flor = 0.2`, "rank.urgent.flor", "did you mean floor?"},
		{`floor = 0.2`, `Floor = 0.2`, "rank.urgent.Floor", "did you mean floor?"},
		{`floor = 0.2`, `floor = "0.2"`, "rank.urgent.floor", "is a string: write a number"},
		{`floor = 0.2`, `floor = nan`, "rank.urgent.floor", "outside 0 to 1"},
		{`floor = 0.2`, `floor = 1.2`, "rank.urgent.floor", "outside 0 to 1"},
		{`floor = 0.2`, "floor = 0.6\ndeadline = 5", "rank.urgent.deadline", "write a duration in quotes"},
		{`floor = 0.2`, `deadline = "5 minutes"`, "rank.urgent.deadline", "is not a duration"},
		{`floor = 0.2`, `deadline = "1h"`, "rank.urgent.deadline", "at most 10m0s"},
		{`floor = 0.2`, `first_token = "2m"`, "rank.urgent.first_token", "at most the deadline"},
		{`order = 1`, "order = 1\nfloor = 0.9", "rank", "the floors add up to 1.1"},
		{`order = 1`, `order = 0`, "rank.urgent.order", "also the order of rank normal"},
		{`order = 1`, `order = 2`, "rank.normal.order", "number the ranks from 0"},
		{`order = 1`, `order = -1`, "rank.normal.order", "number the ranks from 0"},
		{`order = 1`, `order = 1.5`, "rank.normal.order", "is a float: write an integer"},
		{`default = "v1"`, ``, "model.small.default", "is missing: name one of v1, v2"},
		{`default = "v1"`, `default = "v11"`, "model.small.default", "did you mean v1?"},
		{`[model.small.version.v2]`, `[model.small.version."v 2"]`, "model.small.version.v 2", "is not a name"},
		{`quality = 0.8`, `quality = 80`, "model.small.version.v1.quality", "outside 0 to 1"},
		{`cost_per_million_tokens = 100`, `cost_per_million_tokens = -1`, "model.small.version.v1.cost_per_million_tokens", "out of range"},
		{`cost_per_million_tokens = 100`, `cost_per_million_tokens = 0.5`, "model.small.version.v1.cost_per_million_tokens", "write an integer"},
		{`targets = ["small@v1", "small@v2"]`, ``, "pool.engines.targets", "is empty"},
		{`targets = ["small@v1", "small@v2"]`, `targets = ["small"]`, "pool.engines.targets", "names no version"},
		{`targets = ["small@v1", "small@v2"]`, `targets = ["smal@v1"]`, "pool.engines.targets", "did you mean small?"},
		{`targets = ["small@v1", "small@v2"]`, `targets = ["small@v1", "small@v1"]`, "pool.engines.targets", "stands twice"},
		{`targets = ["small@v1", "small@v2"]`, `targets = ["small@v2"]`, "model.small.default", "no pool serves small@v1"},
		{`targets = ["small@v1", "small@v2"]`, `targets = ["small@v1"]`, "rollout.next.to", "no pool serves small@v2"},
		{`targets = ["small@v1", "small@v2"]`, `targets = "small@v1"`, "pool.engines.targets", "write an array"},
		{`targets = ["small@v1", "small@v2"]`, `targets = [1]`, "pool.engines.targets[0]", "write \"model\" or"},
		{`[service.booking]`, `[service.engines]`, "service.engines", "also the name of a pool"},
		{`"POST /seats/*"`, `"seats"`, "service.booking.once_calls", "is not a call"},
		{`"POST /seats/*"`, `"POST /s%65ats"`, "service.booking.once_calls", "is not a call"},
		{`"POST /seats/*"`, `"POST /seats?x"`, "service.booking.once_calls", "is not a call"},
		{`"POST /seats/*"`, `"POST /seats/*/x"`, "service.booking.once_calls", "is not a call"},
		{`keys_sha256 = ["20ca`, `keys_sha256 = ["zzzz`, "organisation.school.keys_sha256", "is not a sum"},
		{`allow = ["small"]`, `allow = ["smal"]`, "organisation.school.allow", "did you mean small?"},
		{`allow = ["small"]`, `allow = ["small@v3"]`, "organisation.school.allow", "version \"v3\" of model \"small\" does not exist"},
		{`services = ["booking"]`, `services = ["boking"]`, "organisation.school.services", "did you mean booking?"},
		{`default_rank = "normal"`, ``, "organisation.school.default_rank", "is missing: name one of normal, urgent"},
		{`default_rank = "normal"`, `default_rank = "norml"`, "organisation.school.default_rank", "did you mean normal?"},
		{`default_rank = "normal"`, "default_rank = \"normal\"\nweight = -1", "organisation.school.weight", "out of range"},
		{`default_rank = "normal"`, "default_rank = \"normal\"\nweight = inf", "organisation.school.weight", "out of range"},
		{`default_rank = "normal"`, "default_rank = \"normal\"\nquality_target = 2", "organisation.school.quality_target", "outside 0 to 1"},
		{`zone = "Europe/Helsinki"`, `zone = "Helsinki"`, "quiet_hours.night.zone", "is not a time zone"},
		{`zone = "Europe/Helsinki"`, `zone = "Local"`, "quiet_hours.night.zone", "is not a time zone"},
		{`from = "22:30"`, `from = "22.30"`, "quiet_hours.night.from", "is not a time of day"},
		{`from = "22:30"`, `from = "24:00"`, "quiet_hours.night.from", "is not a time of day"},
		{`from = "22:30"`, "from = \"22:30\"\nmargin = \"-1s\"", "quiet_hours.night.margin", "out of range"},
		{`to = "06:00"`, "to = \"06:00\"\ndays = [\"Mon\"]", "quiet_hours.night.days", "did you mean mon?"},
		{`to = "06:00"`, "to = \"06:00\"\npools = [\"engine\"]", "quiet_hours.night.pools", "did you mean engines?"},
		{`to = "06:00"`, "to = \"06:00\"\nmodels = [\"tiny\"]", "quiet_hours.night.models", "use one of small"},
		{`to = "06:00"`, "to = \"06:00\"\norganisations = [\"scool\"]", "quiet_hours.night.organisations", "did you mean school?"},
		{`model = "small"`, `model = "smal"`, "rollout.next.model", "did you mean small?"},
		{`to = "v2"`, `to = "v1"`, "rollout.next.to", "also the version in place"},
		{`{ percent = 10.0, bake = "10m" }`, ``, "rollout.next.stages", "is empty"},
		{`{ percent = 10.0, bake = "10m" }`, `{ percent = 10.0, bak = "10m" }`, "rollout.next.stages[0].bak", "did you mean bake?"},
		{`{ percent = 10.0, bake = "10m" }`, `{ percent = 101.0 }`, "rollout.next.stages", "stages rise"},
		{`{ percent = 10.0, bake = "10m" }`, `{ percent = 10.0, bake = "-1m" }`, "rollout.next.stages", "is negative"},
		{`{ percent = 10.0, bake = "10m" }`, `{ percent = 10.0 }, { percent = 5.0 }`, "rollout.next.stages", "never fall"},
		{`order = 1`, "order = 1\norder = 1", "rank.normal.order", "is not valid TOML"},
	} {
		t.Run(c.key+" "+c.new, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(valid, c.old)) // the case changes something
			_, err := load(map[string]string{"10-all.toml": strings.Replace(valid, c.old, c.new, 1)})
			var fault *FolderError
			is.True(errors.As(err, &fault)) // a typed fault
			is.Equal(fault.Key, c.key)
			is.True(strings.HasPrefix(fault.File, "10-all.toml")) // the file is named
			if !strings.Contains(fault.Remedy, c.remedy) {
				t.Errorf("the remedy is %q", fault.Remedy)
			}
		})
	}
}

// Faults of whole files name the file, and the line of a syntax error.
func TestFileFaults(t *testing.T) {
	is := is.New(t)
	_, err := load(map[string]string{"readme.md": "", ".hidden.toml": "x"})
	is.Equal(err.Error(), "folder: holds no *.toml file: add at least one")
	_, err = load(map[string]string{"a.toml": strings.Repeat("#", maxFileBytes+1)})
	is.Equal(err.Error(), "a.toml: is larger than 1 MiB: split it into smaller files")
	_, err = LoadFolder("/nonexistent/folder")
	is.True(strings.Contains(err.Error(), "check its path and permissions"))
	_, err = load(map[string]string{"a.toml": valid, "b.toml": "[rank.normal"})
	is.True(strings.HasPrefix(err.Error(), "b.toml:1: ")) // the line is named
}

// A later file overrides an earlier one key by key. A fault names the file that
// last set the key.
func TestLaterFileOverrides(t *testing.T) {
	is := is.New(t)
	c, err := load(map[string]string{"10-all.toml": valid, "20-more.toml": "[rank.urgent]\nfloor = 0.3\n"})
	is.NoErr(err)
	is.Equal(c.Ranks["urgent"].Floor, 0.3)
	is.Equal(c.Ranks["normal"].Order, 1)
	_, err = load(map[string]string{"10-all.toml": valid, "20-more.toml": "[rank.urgent]\nfloor = 3\n"})
	is.True(strings.HasPrefix(err.Error(), "20-more.toml: key rank.urgent.floor: "))
}

// A folder with several faults always gives the same message, although tables are
// maps.
func TestFirstFaultIsStable(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(`from = "22:30"`, `from = "x"`, `to = "06:00"`, `to = "y"`, `zone = "Europe/Helsinki"`, `zone = "UTC"`).Replace(valid)
	for range 50 {
		_, err := load(map[string]string{"a.toml": text})
		is.Equal(err.Error(), `a.toml: key quiet_hours.night.from: "x" is not a time of day: write hours and minutes, such as "22:30"`)
		_, err = load(map[string]string{"a.toml": valid, "b.toml": "[zz]\n[yy]\n[rank.normal]\nzzz = 1\nyyy = 2\n"})
		is.Equal(err.Error(), "b.toml: key rank.normal.yyy: is unknown: use one of deadline, first_token, floor, order, preempts")
	}
}

// Valid but questionable configurations give warnings in a fixed order.
func TestWarnings(t *testing.T) {
	is := is.New(t)
	c, err := load(map[string]string{"a.toml": valid, "b.toml": `
[model.small]
default = "v1"
[model.small.version.v1]
withdrawn = true
[model.small.version.v3]
[organisation.empty]
default_rank = "normal"
[quiet_hours.late]
zone = "Europe/Helsinki"
from = "05:00"
to = "07:00"
days = ["mon"]
[quiet_hours.noon]
zone = "Europe/Helsinki"
from = "12:00"
to = "13:00"
`})
	is.NoErr(err)
	is.Equal(c.Warnings(), []string{
		"organisation.empty.keys_sha256 is empty: nobody can call on its behalf",
		"organisation.empty: allow and services are empty: every request of it is refused",
		"model.small.version.v3: no pool serves small@v3",
		"model.small.default: version v1 is withdrawn: the model takes no new work",
		"quiet_hours.late and quiet_hours.night overlap: both hold, the longer wins",
	})
}

// Any text either gives a *FolderError with a remedy, or a configuration that
// survives encoding.
func FuzzFolder(f *testing.F) {
	f.Add(valid, "")
	f.Add(valid, "[rank.urgent]\nfloor = 0.3\n")
	f.Add(valid, "rank = 3")
	f.Add("[rank.a]\norder = 0", "[[rank]]\norder = 0")
	f.Add("[rank.a]\nfloor = inf", "\xff")
	f.Add("[rollout.x]\nstages = [[]]", "[model.\"\".version]\n")
	f.Fuzz(func(t *testing.T, a, b string) {
		files := map[string]string{"a.toml": a, "b.toml": b}
		c, err := load(files)
		if err != nil {
			var fault *FolderError
			if !errors.As(err, &fault) || fault.Remedy == "" {
				t.Fatalf("the fault has no type or remedy: %v", err)
			}
			return
		}
		body, hash, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeConfig(body, hash); err != nil {
			t.Fatal(err)
		}
		c.Warnings()
	})
}
