package config

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// section is one heading of the reference page with the struct that it describes.
type section struct {
	heading    string
	structType reflect.Type
	defaults   any
}

// row is one line of a section's table.
type row struct{ key, typeName, defaultValue string }

var rowPattern = regexp.MustCompile("^\\| `([a-z0-9_]+)` \\|([^|]*)\\|([^|]*)\\|")

// referenceRows reads the tables of docs/reference.md by heading.
func referenceRows(t *testing.T) map[string][]row {
	t.Helper()
	raw, err := os.ReadFile("../../docs/reference.md")
	is.New(t).NoErr(err)
	out := map[string][]row{}
	heading := ""
	for line := range strings.SplitSeq(string(raw), "\n") {
		if strings.HasPrefix(line, "#") {
			heading = strings.TrimLeft(line, "# ")
		}
		if m := rowPattern.FindStringSubmatch(line); m != nil {
			out[heading] = append(out[heading], row{m[1], strings.TrimSpace(m[2]), strings.Trim(strings.TrimSpace(m[3]), "`")})
		}
	}
	return out
}

// referenceType returns the page's name for the type of a key.
func referenceType(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[Duration]():
		return "duration"
	case reflect.TypeFor[Target]():
		return "target"
	}
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "integer"
	case reflect.Float64:
		return "number"
	case reflect.Bool:
		return "boolean"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Struct && t.Elem() != reflect.TypeFor[Target]() {
			return "list of [[rollout.NAME.stages]]"
		}
		return "list of " + referenceType(t.Elem())
	case reflect.Map:
		return "table of [model.NAME.version.NAME]"
	default:
		return t.Kind().String()
	}
}

// defaultText formats a default value as on the page; empty for a zero value.
func defaultText(v reflect.Value) string {
	if v.IsZero() {
		return ""
	}
	if d, ok := v.Interface().(Duration); ok {
		return d.Std().String()
	}
	return fmt.Sprint(v.Interface())
}

// The reference page lists exactly the keys, types and defaults of the program.
func TestReferencePage(t *testing.T) {
	c := &Config{
		Organisations: map[string]*Organisation{"x": {}}, Pools: map[string]*Pool{"x": {}},
		Services: map[string]*Service{"x": {}}, Ranks: map[string]*Rank{"x": {}}, QuietHours: map[string]*QuietHours{"x": {}},
	}
	c.applyDefaults()
	rows := referenceRows(t)
	sections := []section{
		{"Settings of a process", reflect.TypeFor[Settings](), DefaultSettings()},
		{"[organisation.NAME]", reflect.TypeFor[Organisation](), *c.Organisations["x"]},
		{"[model.NAME]", reflect.TypeFor[Model](), Model{}},
		{"[model.NAME.version.NAME]", reflect.TypeFor[Version](), Version{}},
		{"[pool.NAME]", reflect.TypeFor[Pool](), *c.Pools["x"]},
		{"[service.NAME]", reflect.TypeFor[Service](), *c.Services["x"]},
		{"[rank.NAME]", reflect.TypeFor[Rank](), *c.Ranks["x"]},
		{"[quiet_hours.NAME]", reflect.TypeFor[QuietHours](), *c.QuietHours["x"]},
		{"[rollout.NAME]", reflect.TypeFor[Rollout](), Rollout{}},
		{"[[rollout.NAME.stages]]", reflect.TypeFor[Stage](), Stage{}},
	}
	for _, s := range sections {
		t.Run(s.heading, func(t *testing.T) {
			var expected []row
			for _, key := range tomlKeys(s.structType) {
				f, _ := fieldByKey(s.structType, key)
				defaultValue := defaultText(reflect.ValueOf(s.defaults).FieldByIndex(f.Index))
				expected = append(expected, row{key, referenceType(f.Type), defaultValue})
			}
			is.New(t).Equal(rows[s.heading], expected)
		})
	}
	is.New(t).Equal(len(rows), len(sections)) // no other tables
	is.New(t).Equal(len(tomlKeys(reflect.TypeFor[Config]())), 7)
}
