package config

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strconv"
)

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

// checkTree checks a parsed TOML table against the struct type t that it will be
// decoded into. It returns a *FolderError without a file for the first unknown key
// or wrong type, in lexical order of the keys.
func checkTree(tree map[string]any, t reflect.Type, prefix string) error {
	known := tomlKeys(t)
	for _, name := range sortedKeys(tree) {
		key := joinKey(prefix, name)
		field, ok := fieldByKey(t, name)
		if !ok {
			return &FolderError{Key: key, Remedy: "is unknown" + nearestHint(name, known)}
		}
		if err := checkValue(tree[name], field.Type, key); err != nil {
			return err
		}
	}
	return nil
}

// checkValue checks one TOML value against the Go type that it will be decoded
// into.
func checkValue(v any, t reflect.Type, key string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textUnmarshalerType) {
		return checkText(v, t, key)
	}
	switch t.Kind() {
	case reflect.Struct:
		if table, ok := v.(map[string]any); ok {
			return checkTree(table, t, key)
		}
	case reflect.Map:
		if table, ok := v.(map[string]any); ok {
			return checkEntries(table, t.Elem(), key)
		}
	case reflect.Slice:
		if list, ok := asList(v); ok {
			return checkItems(list, t.Elem(), key)
		}
	case reflect.Float64:
		if _, ok := v.(int64); ok {
			return nil
		}
		fallthrough
	default:
		if matchesKind(v, t.Kind()) {
			return nil
		}
	}
	return &FolderError{Key: key, Remedy: fmt.Sprintf("is %s: write %s", tomlTypeOf(v), typeName(t))}
}

// checkText checks a TOML value against a type that decodes itself from text.
func checkText(v any, t reflect.Type, key string) error {
	s, ok := v.(string)
	if !ok {
		return &FolderError{Key: key, Remedy: fmt.Sprintf("is %s: write %s", tomlTypeOf(v), typeName(t))}
	}
	if err := reflect.New(t).Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(s)); err != nil {
		return &FolderError{Key: key, Remedy: err.Error()}
	}
	return nil
}

func checkEntries(table map[string]any, t reflect.Type, key string) error {
	for _, name := range sortedKeys(table) {
		if err := checkValue(table[name], t, joinKey(key, name)); err != nil {
			return err
		}
	}
	return nil
}

func checkItems(list []any, t reflect.Type, key string) error {
	for i, item := range list {
		if err := checkValue(item, t, key+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	return nil
}

// asList returns the items of a TOML array of tables or of other values. It
// returns false for any other value.
func asList(v any) ([]any, bool) {
	switch list := v.(type) {
	case []any:
		return list, true
	case []map[string]any:
		out := make([]any, len(list))
		for i, table := range list {
			out[i] = table
		}
		return out, true
	default:
		return nil, false
	}
}

// matchesKind reports whether a TOML value decodes into a Go kind.
func matchesKind(v any, kind reflect.Kind) bool {
	switch v.(type) {
	case string:
		return kind == reflect.String
	case bool:
		return kind == reflect.Bool
	case int64:
		return kind == reflect.Int || kind == reflect.Int64
	case float64:
		return kind == reflect.Float64
	default:
		return false
	}
}

// tomlTypeOf describes the TOML type of a parsed value.
func tomlTypeOf(v any) string {
	switch v.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case map[string]any:
		return "a table"
	case []any, []map[string]any:
		return "an array"
	default:
		return "a date or time"
	}
}

// typeName describes the TOML value that decodes into a Go type.
func typeName(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[Duration]():
		return "a duration in quotes, such as \"910ms\""
	case reflect.TypeFor[Target]():
		return "\"model\" or \"model@version\" in quotes"
	}
	switch t.Kind() {
	case reflect.String:
		return "a string in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array in brackets"
	default:
		return "a table"
	}
}

// tomlKeys returns the TOML keys of a struct's fields in the order of the fields.
func tomlKeys(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("toml"); name != "" {
			keys = append(keys, name)
		}
	}
	return keys
}

// fieldByKey returns the field of a struct type with the given TOML key.
func fieldByKey(t reflect.Type, name string) (reflect.StructField, bool) {
	i := slices.IndexFunc(reflect.VisibleFields(t), func(f reflect.StructField) bool {
		return f.Tag.Get("toml") == name
	})
	if i < 0 {
		return reflect.StructField{}, false
	}
	return reflect.VisibleFields(t)[i], true
}
