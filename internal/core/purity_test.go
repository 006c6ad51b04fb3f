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

// The core is replayed on a virtual clock, so a clock, a socket, a goroutine or
// a global random source inside it would make replays differ from run to run.
// These lists name what would bring one in.
var (
	forbiddenImports = []string{"net", "net/http", "os", "os/signal", "os/exec", "io/ioutil", "log", "syscall", "math/rand", "crypto/rand", "sync", "github.com/valyala/fasthttp"}
	forbiddenCalls   = map[string][]string{
		"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"},
		"rand": {"Int", "IntN", "Int64", "Int64N", "Uint64", "Uint32", "Float64", "Perm", "Shuffle", "N"},
	}
)

func TestCoreReachesNothingOutside(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		for _, fault := range faultsOf(t, path, nil) {
			t.Error(fault)
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

func TestCheckFindsEachKindOfFault(t *testing.T) {
	source := "package x\nimport (\n\"net\"\n\"time\"\n\"math/rand/v2\"\n)\nvar _ net.IP\nfunc f() { go f(); _ = time.Now(); _ = rand.IntN(3) }\n"
	if found := faultsOf(t, "x.go", source); len(found) != 4 {
		t.Fatalf("want an import, a goroutine, a clock and a random source; got %v", found)
	}
}

func faultsOf(t *testing.T, path string, source any) []string {
	t.Helper()
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	var faults []string
	fault := func(at token.Pos, what string) {
		faults = append(faults, set.Position(at).String()+": the core must not use "+what)
	}
	for _, spec := range file.Imports {
		name, _ := strconv.Unquote(spec.Path.Value)
		for _, bad := range forbiddenImports {
			if name == bad {
				fault(spec.Pos(), name)
			}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.GoStmt:
			fault(n.Pos(), "a goroutine")
		case *ast.SelectorExpr:
			pkg, ok := n.X.(*ast.Ident)
			if !ok || pkg.Obj != nil {
				return true
			}
			for _, bad := range forbiddenCalls[pkg.Name] {
				if n.Sel.Name == bad {
					fault(n.Pos(), pkg.Name+"."+bad)
				}
			}
		}
		return true
	})
	return faults
}
