// Package layers checks that packages import only what their layer allows.
package layers

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "hyssopseam"

// importsOf returns the import paths of the package in a folder, without those of its tests.
func importsOf(t *testing.T, folder string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var imports []string
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), f, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range parsed.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			imports = append(imports, path)
		}
	}
	return imports
}

// packagesUnder returns the folders with Go files at and below a folder. All paths are relative to the module's root.
func packagesUnder(t *testing.T, folder string) []string {
	t.Helper()
	root := filepath.Join("..", "..")
	seen := map[string]bool{}
	var packages []string
	err := filepath.WalkDir(filepath.Join(root, folder), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		relative, err := filepath.Rel(root, filepath.Dir(path))
		if err == nil && !seen[relative] {
			seen[relative] = true
			packages = append(packages, relative)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return packages
}

// under reports whether an import path is root or a package below it.
func under(path, root string) bool {
	return path == root || strings.HasPrefix(path, root+"/")
}

// TestLayers checks the imports of the packages below each folder against the prefixes that are banned there.
func TestLayers(t *testing.T) {
	tables := []struct {
		folder string
		banned []string
	}{
		{"core", []string{module + "/io", module + "/internal", module + "/cmd"}},
		{"core", []string{"net", "os", "io", "io/fs", "bufio", "syscall", "log", "log/slog", "database", "encoding", "sync", "context", "math/rand", "math/rand/v2", "github.com"}},
		{"core/query", []string{module + "/core/command"}},
		{"io/query", []string{module + "/core/command/hscontrol", module + "/io/command"}},
		{"core/hsstate", []string{module + "/core/command", module + "/core/query"}},
		{"io", []string{module + "/internal", module + "/cmd", module + "/platform", "os/exec"}},
		{"core", []string{module + "/platform"}},
		{"platform", []string{module + "/internal", module + "/cmd", module + "/core/command/hscontrol", "os/exec"}},
		{"platform/query", []string{module + "/platform/command"}},
		{"cmd", []string{"os/exec"}},
	}
	for _, tt := range tables {
		for _, pkg := range packagesUnder(t, tt.folder) {
			for _, path := range importsOf(t, filepath.Join("..", "..", pkg)) {
				for _, banned := range tt.banned {
					if under(path, banned) {
						t.Errorf("%s: got import %s, want none of %s", pkg, path, banned)
					}
				}
			}
		}
	}
}
