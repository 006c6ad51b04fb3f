package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// The core is replayed on a virtual clock. A clock, socket, goroutine or global
// random source inside it would make replays differ from run to run. These lists
// contain the imports and calls that introduce one; goroutines are found by their
// go statements.
var (
	forbiddenImports = []string{"net", "net/http", "os", "os/signal", "os/exec", "io/ioutil", "log", "syscall", "math/rand", "crypto/rand", "sync", "github.com/valyala/fasthttp"}
	forbiddenCalls   = map[string][]string{
		"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"},
		"rand": {"Int", "IntN", "Int64", "Int64N", "Uint64", "Uint32", "Float64", "Perm", "Shuffle", "N"},
	}
)

func TestCoreIsFreeOfIO(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		for _, violation := range violationsIn(t, path, nil) {
			t.Error(violation)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files == 0 {
		t.Fatal("no file of the core was read")
	}
}

func TestViolationsOfEachKindAreFound(t *testing.T) {
	source := "package x\nimport (\n\"net\"\n\"time\"\n\"math/rand/v2\"\n)\nvar _ net.IP\nfunc f() { go f(); _ = time.Now(); _ = rand.IntN(3) }\n"
	if found := violationsIn(t, "x.go", source); len(found) != 4 {
		t.Fatalf("want an import, a goroutine, a clock and a random source; got %v", found)
	}
}

func violationsIn(t *testing.T, path string, source any) []string {
	t.Helper()
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	var violations []string
	report := func(at token.Pos, what string) {
		violations = append(violations, set.Position(at).String()+": the core must not use "+what)
	}
	for _, spec := range file.Imports {
		name, _ := strconv.Unquote(spec.Path.Value)
		for _, bad := range forbiddenImports {
			if name == bad {
				report(spec.Pos(), name)
			}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.GoStmt:
			report(n.Pos(), "a goroutine")
		case *ast.SelectorExpr:
			pkg, ok := n.X.(*ast.Ident)
			if !ok || pkg.Obj != nil {
				return true
			}
			for _, bad := range forbiddenCalls[pkg.Name] {
				if n.Sel.Name == bad {
					report(n.Pos(), pkg.Name+"."+bad)
				}
			}
		}
		return true
	})
	return violations
}
