package event_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"rosemarygap/core/event"
	"rosemarygap/io/golden"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

const root = "../.."

func TestGoldenPage(t *testing.T) {
	golden.Check(t, root+"/docs/EVENTS.md", event.Page())
}

// TestGoldenAlerts also refuses an alert that tells people on call nothing to do.
func TestGoldenAlerts(t *testing.T) {
	golden.Check(t, root+"/docs/ALERTS.md", event.AlertsPage())
	for _, e := range event.Catalogue() {
		if e.Level >= hclog.Warn && e.Action == "None." {
			t.Errorf("event %d is an alert without an action", e.Number)
		}
	}
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	is := is.New(t)
	numbers, names := map[event.Number]bool{}, map[string]bool{}
	for _, e := range event.Catalogue() {
		is.True(!numbers[e.Number]) // duplicate number
		is.True(!names[e.Name])     // duplicate name
		is.True(e.Meaning != "" && e.Action != "")
		numbers[e.Number], names[e.Name] = true, true
	}
}

// use is one call of Emit in the source.
type use struct {
	place  string
	name   string
	fields []string
}

// TestCatalogueMatchesCode checks both directions: each event in the source is
// catalogued and carries just the catalogued fields, and each catalogued event
// is used somewhere.
func TestCatalogueMatchesCode(t *testing.T) {
	declared := declaredEvents(t)
	used := map[string]bool{}
	for _, u := range uses(t) {
		used[u.name] = true
		fields, ok := declared[u.name]
		if !ok {
			t.Errorf("%s: event %s is not in the catalogue", u.place, u.name)
			continue
		}
		if !slices.Equal(u.fields, fields) {
			t.Errorf("%s: %s has fields %v, the catalogue says %v", u.place, u.name, u.fields, fields)
		}
	}
	for name := range declared {
		if !used[name] {
			t.Errorf("event %s is catalogued but never emitted", name)
		}
	}
}

// declaredEvents returns the sorted fields of each catalogued variable.
func declaredEvents(t *testing.T) map[string][]string {
	byName := map[string]event.Event{}
	for _, e := range event.Catalogue() {
		byName[e.Name] = e
	}
	out := map[string][]string{}
	for _, f := range parseTree(t, root+"/core/event") {
		ast.Inspect(f.file, func(n ast.Node) bool {
			v, ok := n.(*ast.ValueSpec)
			if !ok || len(v.Values) != 1 {
				return true
			}
			c, ok := v.Values[0].(*ast.CompositeLit)
			if !ok || len(c.Elts) < 2 {
				return true
			}
			lit, ok := c.Elts[1].(*ast.BasicLit)
			if !ok {
				return true
			}
			e, ok := byName[strings.Trim(lit.Value, `"`)]
			if !ok {
				t.Errorf("event %s is declared but not in the catalogue", v.Names[0].Name)
			}
			out[v.Names[0].Name] = sorted(e.Fields)
			return true
		})
	}
	return out
}

func sorted(s []string) []string {
	s = slices.Clone(s)
	slices.Sort(s)
	return s
}

func uses(t *testing.T) []use {
	var out []use
	for _, dir := range []string{"/core", "/io"} {
		for _, f := range parseTree(t, root+dir) {
			ast.Inspect(f.file, func(n ast.Node) bool {
				if u, ok := emitCall(f, n); ok {
					out = append(out, u)
				}
				return true
			})
		}
	}
	return out
}

// emitCall recognises event.NAME.Emit(log, event.FIELD(...), ...).
func emitCall(f parsed, n ast.Node) (use, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return use{}, false
	}
	emit, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || emit.Sel.Name != "Emit" {
		return use{}, false
	}
	ev, ok := emit.X.(*ast.SelectorExpr)
	if !ok {
		return use{}, false
	}
	u := use{place: f.set.Position(call.Pos()).String(), name: ev.Sel.Name}
	for _, a := range call.Args[1:] {
		c, ok := a.(*ast.CallExpr)
		if !ok {
			continue
		}
		if s, ok := c.Fun.(*ast.SelectorExpr); ok {
			u.fields = append(u.fields, fieldKey(s.Sel.Name))
		}
	}
	u.fields = sorted(u.fields)
	return u, true
}

// fieldKey turns the name of a field's constructor into its key.
func fieldKey(name string) string {
	var b strings.Builder
	for i, r := range name {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('-')
		}
		b.WriteRune(r)
	}
	return strings.ToLower(b.String())
}

type parsed struct {
	set  *token.FileSet
	file *ast.File
}

func parseTree(t *testing.T, dir string) []parsed {
	var out []parsed
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		set := token.NewFileSet()
		f, err := parser.ParseFile(set, path, nil, 0)
		out = append(out, parsed{set, f})
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}
