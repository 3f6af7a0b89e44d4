package chicoryrock_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// module is the path of this module.
const module = "github.com/chicoryrock/chicoryrock"

// layer states what the packages below a folder may import. docs/architecture.md
// describes the same rules.
type layer struct {
	folder    string   // relative to the root; the longest match decides for a package
	allowed   []string // folders of this module that may be imported; "." is the root package
	forbidden []string // packages of the standard library that may not be imported
}

// externalPackages are the packages that give access to the network, files and processes.
var externalPackages = []string{"net", "net/http", "os", "os/exec", "os/signal"}

var layers = []layer{
	{".", nil, externalPackages},
	{"platform", []string{".", "internal/state/routing"}, nil},
	{"internal/policy", []string{".", "internal/policy"}, externalPackages},
	{"internal/state", []string{".", "internal/state"}, externalPackages},
	{"internal/ops", []string{".", "internal/ops", "internal/state"}, []string{"net"}},
	{"internal/ops/ctl", []string{".", "internal/ops", "internal/state", "internal/serve/admin", "internal/serve/web"}, []string{"net"}},
	{"internal/serve", []string{".", "internal/ops", "internal/policy", "internal/serve", "internal/state", "platform"}, nil},
	{"internal/serve/local", []string{".", "internal/ops", "internal/serve", "internal/standin", "internal/state", "platform"}, nil},
	{"internal/serve/demo", []string{".", "internal/serve", "internal/standin", "internal/state"}, nil},
	{"internal/standin", []string{".", "internal/standin", "platform", "internal/serve/wire"}, nil},
	{"internal/standin/measure", []string{
		".", "internal/ops/event", "internal/serve/admin", "platform", "internal/serve/wire", "internal/standin", "internal/state",
	}, nil},
	{"cmd", []string{".", "internal/ops/ctl", "platform", "internal/serve/program", "internal/standin/command"}, nil},
}

func layerOf(folder string) layer {
	best := layers[0]
	for _, candidate := range layers {
		if isBelow(folder, candidate.folder) && len(candidate.folder) > len(best.folder) {
			best = candidate
		}
	}
	return best
}

func isBelow(folder, root string) bool {
	return folder == root || strings.HasPrefix(folder, root+"/")
}

// violation describes the rule that an import breaks, or returns "" if it breaks none.
func violation(folder, imported string) string {
	rules := layerOf(folder)
	if slices.Contains(rules.forbidden, imported) {
		return folder + " may not import " + imported
	}
	if !isBelow(imported, module) {
		return ""
	}
	target := path.Clean("./" + strings.TrimPrefix(imported, module))
	for _, allowed := range rules.allowed {
		if target == allowed || allowed != "." && isBelow(target, allowed) {
			return ""
		}
	}
	return folder + " may not import " + target
}

// eachFile calls visit for each source file that is not a test.
func eachFile(t *testing.T, visit func(folder string, file *ast.File)) {
	t.Helper()
	set := token.NewFileSet()
	err := filepath.WalkDir(".", func(name string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(set, name, nil, 0)
		if err != nil {
			return err
		}
		visit(filepath.ToSlash(filepath.Dir(name)), file)
		return nil
	})
	require.NoError(t, err)
}

func TestLayers(t *testing.T) {
	eachFile(t, func(folder string, file *ast.File) {
		for _, one := range file.Imports {
			imported, err := strconv.Unquote(one.Path.Value)
			require.NoError(t, err)
			require.Empty(t, violation(folder, imported))
		}
	})
}

// TestMemoryIsForTests keeps the store with injected faults out of the programs.
func TestMemoryIsForTests(t *testing.T) {
	eachFile(t, func(folder string, file *ast.File) {
		for _, one := range file.Imports {
			imported, err := strconv.Unquote(one.Path.Value)
			require.NoError(t, err)
			require.NotEqual(t, module+"/internal/state/memory", imported, folder)
		}
	})
}

// TestCoreReadsNoClock checks that policies and state get the present time as an
// argument.
func TestCoreReadsNoClock(t *testing.T) {
	clocks := []string{"Now", "Since", "Until", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Sleep"}
	eachFile(t, func(folder string, file *ast.File) {
		if !isBelow(folder, "internal/policy") && !isBelow(folder, "internal/state") {
			return
		}
		ast.Inspect(file, func(node ast.Node) bool {
			selector, ok := node.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if name, ok := selector.X.(*ast.Ident); ok && name.Name == "time" {
				require.NotContains(t, clocks, selector.Sel.Name, folder)
			}
			return true
		})
	})
}

func TestViolation(t *testing.T) {
	cases := []struct {
		folder, imported string
		valid            bool
	}{
		{"internal/policy/queue", "time", true},
		{"internal/policy/queue", "net/netip", true},
		{"internal/policy/queue", "net/http", false},
		{"internal/policy/queue", module, true},
		{"internal/policy/queue", module + "/internal/state/object", false},
		{"internal/state/publish", module + "/internal/serve/feed", false},
		{"internal/ops/burn", module + "/internal/serve/web", false},
		{"internal/ops/ctl", module + "/internal/serve/web", true},
		{"internal/ops/ctl", module + "/internal/serve/entry", false},
		{"internal/serve/entry", module + "/internal/standin/engine", false},
		{"internal/standin/store", module + "/internal/state/publish", false},
		{"internal/standin/measure", module + "/internal/state/publish", true},
		{"internal/standin/measure", module + "/internal/serve/entry", false},
		{".", module + "/internal/state/object", false},
	}
	for _, c := range cases {
		require.Equal(t, c.valid, violation(c.folder, c.imported) == "", "%v", c)
	}
}
