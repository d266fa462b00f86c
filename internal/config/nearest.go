package config

import (
	"reflect"
	"sort"
	"strings"
)

// maxTypoDistance is the largest edit distance at which a name is suggested.
const maxTypoDistance = 3

// folderKeys lists every key that a folder's file may hold.
var folderKeys = structKeys(reflect.TypeFor[Config](), map[reflect.Type]bool{})

// structKeys collects the TOML names of t's fields and of all types below.
func structKeys(t reflect.Type, seen map[reflect.Type]bool) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Map || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || seen[t] {
		return nil
	}
	seen[t] = true
	keys := []string{}
	for i := range t.NumField() {
		f := t.Field(i)
		if name := f.Tag.Get("toml"); name != "" {
			keys = append(keys, name)
		}
		keys = append(keys, structKeys(f.Type, seen)...)
	}
	return keys
}

func lastKeyPart(key string) string {
	return key[strings.LastIndex(key, ".")+1:]
}

// nearestHint returns a remedy that names the known word closest to got.
func nearestHint(got string, known []string) string {
	best, distance := "", maxTypoDistance+1
	for _, k := range known {
		if d := editDistance(got, k); d < distance {
			best, distance = k, d
		}
	}
	if best != "" {
		return ": did you mean " + strings.ToLower(best) + "?"
	}
	list := append([]string(nil), known...)
	sort.Strings(list)
	const few = 12
	if len(list) > few {
		return ": remove it, or see docs/reference.md for the known keys"
	}
	return ": use one of " + strings.Join(list, ", ")
}

// editDistance returns the Levenshtein distance of a and b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal = row[j]
			row[j] = next
		}
	}
	return row[len(b)]
}
