// Package layout holds the tree to what the pages say of it.
package layout

import (
	"bytes"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	root     = "../.."
	internal = "github.com/cowslipfall/cowslipfall/internal/"
	maxLines = 400
)

// layers reads the layers of docs/ARCHITECTURE.md: 0 is the lowest.
func layers(t *testing.T) map[string]int {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, "docs/ARCHITECTURE.md"))
	is.New(t).NoErr(err)
	_, after, ok := strings.Cut(string(raw), "```layers\n")
	is.New(t).True(ok) // the page has the layers
	text, _, _ := strings.Cut(after, "\n```")
	lines := strings.Split(text, "\n")
	out := map[string]int{}
	for i, line := range lines {
		for name := range strings.FieldsSeq(line) {
			out[name] = len(lines) - 1 - i
		}
	}
	return out
}

// goFiles calls do for each Go file of the tree.
func goFiles(t *testing.T, do func(path string)) {
	t.Helper()
	is.New(t).NoErr(filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") {
			do(path)
		}
		return err
	}))
}

// A package imports only packages of lower layers.
func TestImportsPointDown(t *testing.T) {
	layer := layers(t)
	goFiles(t, func(path string) {
		name := filepath.Base(filepath.Dir(path))
		if !strings.HasPrefix(path, filepath.Join(root, "internal")) || strings.HasSuffix(path, "_test.go") {
			return
		}
		from, ok := layer[name]
		if !ok {
			t.Errorf("package %s stands in no layer of docs/ARCHITECTURE.md", name)
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		is.New(t).NoErr(err)
		for _, imp := range f.Imports {
			target, _ := strconv.Unquote(imp.Path.Value)
			if to, own := strings.CutPrefix(target, internal); own && layer[to] >= from {
				t.Errorf("%s imports %s, which is not below it", path, to)
			}
		}
	})
}

// Files of the program stay short enough to read at once.
func TestFilesAreShort(t *testing.T) {
	goFiles(t, func(path string) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		raw, err := os.ReadFile(path)
		is.New(t).NoErr(err)
		if lines := bytes.Count(raw, []byte("\n")); lines > maxLines {
			t.Errorf("%s has %d lines: split it", path, lines)
		}
	})
}

// Links between the pages lead somewhere.
func TestLinksLead(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(root, "docs/*.md"))
	is.New(t).NoErr(err)
	more, err := filepath.Glob(filepath.Join(root, "docs/*/*.md"))
	is.New(t).NoErr(err)
	for _, page := range append(append(pages, more...), filepath.Join(root, "README.md")) {
		raw, err := os.ReadFile(page)
		is.New(t).NoErr(err)
		for part := range strings.SplitSeq(string(raw), "](") {
			link, _, ok := strings.Cut(part, ")")
			if !ok || !strings.HasSuffix(link, ".md") || strings.Contains(link, " ") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), link)); err != nil {
				t.Errorf("%s links to %s, which is not there", page, link)
			}
		}
	}
}
