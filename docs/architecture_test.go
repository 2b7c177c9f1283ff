package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// layers are the parts of the product, lowest first. A package imports packages of its own layer and of lower ones.
var layers = []string{"core/state", "core/coordination", "io/protocol", "io/transport", "platform", "command", "cmd/cornellb"}

// nonProductFolders are not parts of the product. They may import all of the product, and the product imports none of
// them.
var nonProductFolders = []string{"standin", "cmd/standin", "tools", "test"}

// forbiddenCoreImports are packages that give access to the network, files, processes or global random numbers. The
// core gets messages and times as arguments instead.
var forbiddenCoreImports = []string{"net", "net/http", "os", "os/exec", "os/signal", "syscall", "io/fs", "math/rand"}

// forbiddenCoreCalls are functions, by import path, that read the wall clock, wait for it, or use the global source of
// random numbers.
var forbiddenCoreCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "After", "AfterFunc", "Sleep", "Tick", "NewTimer", "NewTicker"},
	"math/rand/v2": {
		"Int", "IntN", "Int32", "Int32N", "Int64", "Int64N", "Uint", "UintN", "Uint32", "Uint32N", "Uint64", "Uint64N",
		"N", "Float32", "Float64", "NormFloat64", "ExpFloat64", "Perm", "Shuffle",
	},
}

// goPackage holds the Go files of a folder, without test files.
type goPackage struct {
	folder string // relative to the root of the module
	files  []*ast.File
}

func loadPackages(t *testing.T) []goPackage {
	t.Helper()
	byFolder := map[string]*goPackage{}
	var folders []string
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		name := d.Name()
		switch {
		case err != nil:
			return err
		case d.IsDir() && (name == "testdata" || strings.HasPrefix(name, ".") && name != ".."):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go"):
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel("..", filepath.Dir(path))
		if err != nil {
			return err
		}
		if byFolder[folder] == nil {
			byFolder[folder] = &goPackage{folder: folder}
			folders = append(folders, folder)
		}
		byFolder[folder].files = append(byFolder[folder].files, f)
		return nil
	})
	is.New(t).NoErr(err)
	var packages []goPackage
	for _, folder := range folders {
		packages = append(packages, *byFolder[folder])
	}
	return packages
}

// layerOf returns the index of the layer that holds a folder, or -1 if none does.
func layerOf(path string) int {
	return slices.IndexFunc(layers, func(layer string) bool { return isBelow(path, layer) })
}

func isBelow(path, folder string) bool { return path == folder || strings.HasPrefix(path, folder+"/") }

func isNonProduct(path string) bool {
	return slices.ContainsFunc(nonProductFolders, func(s string) bool { return isBelow(path, s) })
}

// platformWords are names from the API and settings of the platform that only the package platform may use.
var platformWords = []string{
	"encap", "serializable", "cold_remaining_ms", "traffic_split", "path_prefix", "max_concurrency", "datagram_addr",
	"ready_addr", "CORNELLB_BOOT", "/api/objects", "/api/readiness", "heartbeat_ms",
}

// TestPlatformWords guards against string literals with names of the platform outside of its adapter, the package
// platform.
func TestPlatformWords(t *testing.T) {
	for _, p := range loadPackages(t) {
		if isNonProduct(p.folder) || isBelow(p.folder, "platform") {
			continue
		}
		for _, f := range p.files {
			ast.Inspect(f, func(n ast.Node) bool {
				literal, ok := n.(*ast.BasicLit)
				if !ok || literal.Kind != token.STRING {
					return true
				}
				for _, word := range platformWords {
					if strings.Contains(literal.Value, word) {
						t.Errorf("%s uses the platform's name %s in the literal %s", p.folder, word, literal.Value)
					}
				}
				return true
			})
		}
	}
}

// TestImports guards against a core that depends on sockets or codecs, against imports of a higher layer, and against a
// product that depends on stand-ins.
func TestImports(t *testing.T) {
	for _, p := range loadPackages(t) {
		if isNonProduct(p.folder) {
			continue
		}
		layer := layerOf(p.folder)
		if layer < 0 {
			t.Errorf("%s belongs to no layer of the design", p.folder)
			continue
		}
		for _, path := range importsOf(p) {
			own, isOwn := strings.CutPrefix(path, "cornellb/")
			switch {
			case isOwn && isNonProduct(own):
				t.Errorf("%s imports %s, which is not part of the product", p.folder, own)
			case isOwn && (layerOf(own) < 0 || layerOf(own) > layer):
				t.Errorf("%s imports %s, which is in a higher layer or in none", p.folder, own)
			case isBelow(p.folder, "core") && slices.Contains(forbiddenCoreImports, path):
				t.Errorf("%s imports %s, which the core must not use", p.folder, path)
			}
		}
	}
}

func importsOf(p goPackage) []string {
	var paths []string
	for _, f := range p.files {
		for _, i := range f.Imports {
			if path, err := strconv.Unquote(i.Path.Value); err == nil {
				paths = append(paths, path)
			}
		}
	}
	return paths
}

// TestCoreCalls guards against decisions that depend on the wall clock or on global random numbers. Tests could not
// reproduce them, and after a pause a process would decide by a time other than that of the event it handles.
func TestCoreCalls(t *testing.T) {
	for _, p := range loadPackages(t) {
		if !isBelow(p.folder, "core") {
			continue
		}
		for _, f := range p.files {
			names := importNames(f)
			ast.Inspect(f, func(n ast.Node) bool {
				s, ok := n.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				x, ok := s.X.(*ast.Ident)
				if ok && slices.Contains(forbiddenCoreCalls[names[x.Name]], s.Sel.Name) {
					t.Errorf("%s uses %s.%s, which the core must not use", p.folder, names[x.Name], s.Sel.Name)
				}
				return true
			})
		}
	}
}

// importNames returns the import paths of a file by the name that the file uses for the package.
func importNames(f *ast.File) map[string]string {
	names := map[string]string{}
	for _, i := range f.Imports {
		path, err := strconv.Unquote(i.Path.Value)
		if err != nil {
			continue
		}
		name := filepath.Base(path)
		if name == "v2" {
			name = filepath.Base(filepath.Dir(path))
		}
		if i.Name != nil {
			name = i.Name.Name
		}
		names[name] = path
	}
	return names
}

// TestPackageDocuments guards against packages without the README.md and the package comment that introduce them to a
// new developer.
func TestPackageDocuments(t *testing.T) {
	for _, p := range loadPackages(t) {
		if _, err := os.Stat(filepath.Join("..", p.folder, "README.md")); err != nil {
			t.Errorf("%s has no README.md", p.folder)
		}
		if !slices.ContainsFunc(p.files, func(f *ast.File) bool { return f.Doc != nil }) {
			t.Errorf("%s has no package comment", p.folder)
		}
	}
}
