package config

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

const (
	maxFileBytes = 1 << 20
	maxFiles     = 1000
	fileSuffix   = ".toml"
)

// FolderError is a fault in a configuration folder.
type FolderError struct {
	// File is the file's name, Key the dotted key; either may be empty.
	File string
	Key  string
	// Remedy tells what is wrong and what to change.
	Remedy string
}

// Error implements error.
func (e *FolderError) Error() string {
	parts := []string{}
	if e.File != "" {
		parts = append(parts, e.File)
	}
	if e.Key != "" {
		parts = append(parts, "key "+e.Key)
	}
	parts = append(parts, e.Remedy)
	return strings.Join(parts, ": ")
}

// origins tells which file last set a key, by its dotted name.
type origins map[string]string

// LoadFolder reads all *.toml files of dir but for hidden ones in the order of
// their names, merges them so that a later file overrides an earlier one key
// by key, and checks the result. Its error is a *FolderError.
func LoadFolder(dir string) (*Config, error) { return LoadFS(os.DirFS(dir), dir) }

// LoadFS does the same for the top folder of a file system; name is used in
// messages.
func LoadFS(folder fs.FS, dir string) (*Config, error) {
	entries, err := fs.ReadDir(folder, ".")
	if err != nil {
		return nil, unreadable(dir, err)
	}
	names := []string{}
	for _, e := range entries {
		hidden := strings.HasPrefix(e.Name(), ".")
		if !e.IsDir() && !hidden && strings.HasSuffix(e.Name(), fileSuffix) {
			names = append(names, e.Name())
		}
	}
	if len(names) > maxFiles {
		return nil, &FolderError{File: dir, Remedy: fmt.Sprintf("holds %d files: join them to at most %d", len(names), maxFiles)}
	}
	if len(names) == 0 {
		return nil, &FolderError{File: dir, Remedy: "holds no *.toml file: add at least one"}
	}
	sort.Strings(names)
	merged := map[string]any{}
	from := origins{}
	for _, name := range names {
		tree, err := readFile(folder, name)
		if err != nil {
			return nil, err
		}
		mergeTree(merged, tree, name, "", from)
	}
	return decodeMerged(merged, from)
}

// readFile parses one file and checks it for unknown keys and wrong types.
func readFile(folder fs.FS, name string) (map[string]any, error) {
	body, err := readBounded(folder, name)
	if err != nil {
		return nil, err
	}
	return parseTOML(name, body, reflect.TypeFor[Config]())
}

// readBounded reads a file of at most maxFileBytes.
func readBounded(folder fs.FS, name string) ([]byte, error) {
	f, err := folder.Open(name)
	if err != nil {
		return nil, unreadable(name, err)
	}
	defer f.Close()
	body, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, unreadable(name, err)
	}
	if len(body) > maxFileBytes {
		return nil, &FolderError{File: name, Remedy: "is larger than 1 MiB: split it into smaller files"}
	}
	return body, nil
}

func unreadable(name string, err error) error {
	return &FolderError{File: name, Remedy: "cannot be read (" + err.Error() + "): check its path and permissions"}
}

// parseTOML parses one file's text and checks it against the struct t.
func parseTOML(file string, body []byte, t reflect.Type) (map[string]any, error) {
	tree := map[string]any{}
	if _, err := toml.Decode(string(body), &tree); err != nil {
		return nil, syntaxError(file, err)
	}
	if err := checkTree(tree, t, ""); err != nil {
		return nil, inFile(file, err)
	}
	return tree, nil
}

// inFile adds the file to a fault that has none.
func inFile(file string, err error) error {
	var fault *FolderError
	if !errors.As(err, &fault) {
		return &FolderError{File: file, Remedy: err.Error()}
	}
	fault.File = file
	return fault
}

func syntaxError(file string, err error) error {
	var pe toml.ParseError
	if !errors.As(err, &pe) {
		return &FolderError{File: file, Remedy: "is not valid TOML (" + err.Error() + "): correct it"}
	}
	return &FolderError{
		File: fmt.Sprintf("%s:%d", file, pe.Position.Line), Key: pe.LastKey,
		Remedy: "is not valid TOML (" + strings.TrimSuffix(pe.Message, ".") + "): correct this line",
	}
}

// mergeTree lays src over dst, table by table, and notes where each key came
// from.
func mergeTree(dst, src map[string]any, file, prefix string, from origins) {
	for k, v := range src {
		key := joinKey(prefix, k)
		sub, isTable := v.(map[string]any)
		old, wasTable := dst[k].(map[string]any)
		from[key] = file
		switch {
		case isTable && wasTable:
			mergeTree(old, sub, file, key, from)
		case isTable:
			fresh := map[string]any{}
			dst[k] = fresh
			mergeTree(fresh, sub, file, key, from)
		default:
			dst[k] = v
		}
	}
}

func joinKey(prefix, k string) string {
	if prefix == "" {
		return k
	}
	return prefix + "." + k
}

func decodeMerged(merged map[string]any, from origins) (*Config, error) {
	var buf bytes.Buffer
	if err := toml.NewEncoder(&buf).Encode(merged); err != nil {
		return nil, &FolderError{Remedy: "the merged files cannot be written as one (" + err.Error() + "): make the types of the same key agree in all files"}
	}
	c := &Config{}
	if _, err := toml.Decode(buf.String(), c); err != nil {
		return nil, &FolderError{Remedy: "the merged files do not fit together (" + err.Error() + "): make the types of the same key agree in all files"}
	}
	c.applyDefaults()
	if err := c.check(from); err != nil {
		return nil, err
	}
	return c, nil
}
