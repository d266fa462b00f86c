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
	// File is the name of the file, Key the dotted key; either may be empty.
	File string
	Key  string
	// Remedy describes the fault and what to change.
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

// keyFiles maps a dotted key to the file that last set it.
type keyFiles map[string]string

// LoadFolder reads all *.toml files of dir except hidden ones, in lexical order of
// their names. It merges them, where a later file overrides an earlier one key by
// key, and validates the result. Its error is a *FolderError.
func LoadFolder(dir string) (*Config, error) { return LoadFS(os.DirFS(dir), dir) }

// LoadFS does the same as LoadFolder for the root of a file system. dir is the
// folder's name in error messages.
func LoadFS(folder fs.FS, dir string) (*Config, error) {
	entries, err := fs.ReadDir(folder, ".")
	if err != nil {
		return nil, unreadableError(dir, err)
	}
	names := []string{}
	for _, e := range entries {
		isHidden := strings.HasPrefix(e.Name(), ".")
		if !e.IsDir() && !isHidden && strings.HasSuffix(e.Name(), fileSuffix) {
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
	files := keyFiles{}
	for _, name := range names {
		tree, err := readFile(folder, name)
		if err != nil {
			return nil, err
		}
		mergeTree(merged, tree, name, "", files)
	}
	return decodeMerged(merged, files)
}

// readFile parses one file and checks it for unknown keys and wrong types.
func readFile(folder fs.FS, name string) (map[string]any, error) {
	body, err := readBounded(folder, name)
	if err != nil {
		return nil, err
	}
	return parseTOML(name, body, reflect.TypeFor[Config]())
}

// readBounded reads a file. It returns an error above maxFileBytes.
func readBounded(folder fs.FS, name string) ([]byte, error) {
	f, err := folder.Open(name)
	if err != nil {
		return nil, unreadableError(name, err)
	}
	defer f.Close()
	body, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, unreadableError(name, err)
	}
	if len(body) > maxFileBytes {
		return nil, &FolderError{File: name, Remedy: "is larger than 1 MiB: split it into smaller files"}
	}
	return body, nil
}

// unreadableError returns the fault of a file or folder that cannot be read.
func unreadableError(name string, err error) error {
	return &FolderError{File: name, Remedy: "cannot be read (" + err.Error() + "): check its path and permissions"}
}

// parseTOML parses the text of one file and checks its keys and types against the
// struct type t.
func parseTOML(file string, body []byte, t reflect.Type) (map[string]any, error) {
	tree := map[string]any{}
	if _, err := toml.Decode(string(body), &tree); err != nil {
		return nil, syntaxError(file, err)
	}
	if err := checkTree(tree, t, ""); err != nil {
		return nil, withFile(file, err)
	}
	return tree, nil
}

// withFile returns err as a *FolderError of the given file.
func withFile(file string, err error) error {
	var fault *FolderError
	if !errors.As(err, &fault) {
		return &FolderError{File: file, Remedy: err.Error()}
	}
	fault.File = file
	return fault
}

// syntaxError returns the fault of a file that is not valid TOML, with the line if
// known.
func syntaxError(file string, err error) error {
	var parseError toml.ParseError
	if !errors.As(err, &parseError) {
		return &FolderError{File: file, Remedy: "is not valid TOML (" + err.Error() + "): correct it"}
	}
	return &FolderError{
		File: fmt.Sprintf("%s:%d", file, parseError.Position.Line), Key: parseError.LastKey,
		Remedy: "is not valid TOML (" + strings.TrimSuffix(parseError.Message, ".") + "): correct this line",
	}
}

// mergeTree merges src into dst, table by table, and records in files that file
// set each key.
func mergeTree(dst, src map[string]any, file, prefix string, files keyFiles) {
	for k, v := range src {
		key := joinKey(prefix, k)
		sub, isTable := v.(map[string]any)
		old, wasTable := dst[k].(map[string]any)
		files[key] = file
		switch {
		case isTable && wasTable:
			mergeTree(old, sub, file, key, files)
		case isTable:
			table := map[string]any{}
			dst[k] = table
			mergeTree(table, sub, file, key, files)
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

// decodeMerged decodes the merged tables, fills in defaults and validates the
// result.
func decodeMerged(merged map[string]any, files keyFiles) (*Config, error) {
	var buf bytes.Buffer
	if err := toml.NewEncoder(&buf).Encode(merged); err != nil {
		return nil, &FolderError{Remedy: "the merged files cannot be written as one (" + err.Error() + "): make the types of the same key agree in all files"}
	}
	c := &Config{}
	if _, err := toml.Decode(buf.String(), c); err != nil {
		return nil, &FolderError{Remedy: "the merged files do not fit together (" + err.Error() + "): make the types of the same key agree in all files"}
	}
	c.applyDefaults()
	if err := c.check(files); err != nil {
		return nil, err
	}
	return c, nil
}
