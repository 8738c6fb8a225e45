package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// waitingCalls are the names of methods and functions that may wait for a peer, or that set when
// such a wait ends.
var waitingCalls = map[string]bool{
	"Read": true, "ReadFull": true, "ReadAll": true, "ReadSlice": true, "ReadBytes": true, "ReadString": true,
	"ReadByte": true, "Peek": true, "Copy": true, "CopyN": true, "Write": true, "WriteString": true, "WriteTo": true,
	"Dial": true, "DialContext": true, "DialTimeout": true, "dial": true, "Accept": true, "Do": true, "fill": true,
	"Fill": true, "SetDeadline": true, "SetReadDeadline": true, "SetWriteDeadline": true, "WithDeadline": true,
	"WithTimeout": true, "AfterFunc": true,
}

// waitingPackages are the packages of both programs that talk to peers.
var waitingPackages = []string{
	"connpool", "httpserver", "proxy", "http1", "sharedbody", "membudget", "discovery", "admin", "sidecar", "daemon",
	"hotrestart", "asynclog",
}

// waitingFunctions returns the functions of a file that contain one of the waitingCalls.
func waitingFunctions(t *testing.T, path string) (found, all map[string]bool) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	found, all = map[string]bool{}, map[string]bool{}
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok || function.Body == nil {
			continue
		}
		all[function.Name.Name] = true
		ast.Inspect(function.Body, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				if selector, ok := call.Fun.(*ast.SelectorExpr); ok && waitingCalls[selector.Sel.Name] {
					found[function.Name.Name] = true
				}
			}
			return true
		})
	}
	return found, all
}

// listedWaits returns the functions that the page of deadlines names, by file.
func listedWaits(t *testing.T) map[string]map[string]bool {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("design", "deadlines.md"))
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]map[string]bool{}
	file := ""
	for line := range strings.Lines(string(page)) {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			line = cells[1] // only the column "where"
		}
		for _, name := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(line, -1) {
			if strings.HasSuffix(name[1], ".go") {
				file = name[1]
			} else if file != "" {
				if listed[file] == nil {
					listed[file] = map[string]bool{}
				}
				listed[file][name[1]] = true
			}
		}
	}
	return listed
}

// Guards against a wait on a peer that nobody has decided the end of.
func TestEveryWaitIsListed(t *testing.T) {
	listed := listedWaits(t)
	for _, pkg := range waitingPackages {
		err := filepath.WalkDir(filepath.Join("..", "internal", pkg), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			found, all := waitingFunctions(t, path)
			file := strings.TrimPrefix(filepath.ToSlash(path), "../")
			for name := range found {
				if !listed[file][name] {
					t.Errorf("%s %s may wait for a peer and is not listed", file, name)
				}
			}
			for name := range listed[file] {
				if !all[name] {
					t.Errorf("%s has no function %s", file, name)
				}
			}
			delete(listed, file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for file := range listed {
		t.Errorf("the list names %s, which does not exist or is not checked", file)
	}
}
