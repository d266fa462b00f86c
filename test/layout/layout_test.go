// Package layout checks the import layers, file lengths and documentation links of
// the source tree.
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
	root           = "../.."
	internalPrefix = "github.com/cowslipfall/cowslipfall/internal/"
	maxLines       = 400
)

// layers returns the layer of each internal package from docs/ARCHITECTURE.md;
// 0 is the lowest.
func layers(t *testing.T) map[string]int {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, "docs/ARCHITECTURE.md"))
	is.New(t).NoErr(err)
	_, after, ok := strings.Cut(string(raw), "```layers\n")
	is.New(t).True(ok) // the page has a block of layers
	text, _, _ := strings.Cut(after, "\n```")
	lines := strings.Split(text, "\n")
	layerOf := map[string]int{}
	for i, line := range lines {
		for name := range strings.FieldsSeq(line) {
			layerOf[name] = len(lines) - 1 - i
		}
	}
	return layerOf
}

// forEachGoFile calls visit with the path of each Go file of the tree.
func forEachGoFile(t *testing.T, visit func(path string)) {
	t.Helper()
	is.New(t).NoErr(filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") {
			visit(path)
		}
		return err
	}))
}

// Guards against imports of a package from the same or a higher layer.
func TestImportsFollowLayers(t *testing.T) {
	layerOf := layers(t)
	forEachGoFile(t, func(path string) {
		name := filepath.Base(filepath.Dir(path))
		if !strings.HasPrefix(path, filepath.Join(root, "internal")) || strings.HasSuffix(path, "_test.go") {
			return
		}
		importerLayer, ok := layerOf[name]
		if !ok {
			t.Errorf("package %s has no layer in docs/ARCHITECTURE.md", name)
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		is.New(t).NoErr(err)
		for _, imp := range f.Imports {
			target, _ := strconv.Unquote(imp.Path.Value)
			if imported, isInternal := strings.CutPrefix(target, internalPrefix); isInternal && layerOf[imported] >= importerLayer {
				t.Errorf("%s imports %s, which is not in a lower layer", path, imported)
			}
		}
	})
}

// Guards against source files that are too long to read in one sitting.
func TestFilesAreShort(t *testing.T) {
	forEachGoFile(t, func(path string) {
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

// Guards against links between pages whose target does not exist.
func TestPageLinksResolve(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(root, "docs/*.md"))
	is.New(t).NoErr(err)
	nestedPages, err := filepath.Glob(filepath.Join(root, "docs/*/*.md"))
	is.New(t).NoErr(err)
	for _, page := range append(append(pages, nestedPages...), filepath.Join(root, "README.md")) {
		raw, err := os.ReadFile(page)
		is.New(t).NoErr(err)
		for part := range strings.SplitSeq(string(raw), "](") {
			link, _, ok := strings.Cut(part, ")")
			if !ok || !strings.HasSuffix(link, ".md") || strings.Contains(link, " ") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), link)); err != nil {
				t.Errorf("%s links to %s, which does not exist", page, link)
			}
		}
	}
}
