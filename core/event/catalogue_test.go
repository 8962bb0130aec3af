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

const moduleRoot = "../.."

func TestGoldenPage(t *testing.T) {
	golden.Check(t, moduleRoot+"/docs/EVENTS.md", event.Page())
}

// TestGoldenAlerts checks that docs/ALERTS.md is up to date, and that every alert
// tells on-call engineers what to do.
func TestGoldenAlerts(t *testing.T) {
	golden.Check(t, moduleRoot+"/docs/ALERTS.md", event.AlertsPage())
	for _, e := range event.Catalogue() {
		if e.Level >= hclog.Warn && e.Action == "None." {
			t.Errorf("event %d has an alert level but no action", e.Number)
		}
	}
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	is := is.New(t)
	numbers, names := map[event.Number]bool{}, map[string]bool{}
	for _, e := range event.Catalogue() {
		is.True(!numbers[e.Number])                // duplicate number
		is.True(!names[e.Name])                    // duplicate name
		is.True(e.Meaning != "" && e.Action != "") // missing documentation
		numbers[e.Number], names[e.Name] = true, true
	}
}

// emitCall is a call of Event.Emit in the source. Its variable is the name of
// the event variable, and its fields are the sorted keys of the passed fields.
type emitCall struct {
	position string
	variable string
	fields   []string
}

// TestCatalogueMatchesCode checks that each emitted event is in the catalogue
// and carries exactly the fields listed there, and that each event of the
// catalogue is emitted somewhere.
func TestCatalogueMatchesCode(t *testing.T) {
	declared := declaredEvents(t)
	used := map[string]bool{}
	for _, u := range findEmitCalls(t) {
		used[u.variable] = true
		fields, ok := declared[u.variable]
		if !ok {
			t.Errorf("%s: event %s is not in the catalogue", u.position, u.variable)
			continue
		}
		if !slices.Equal(u.fields, fields) {
			t.Errorf("%s: %s is emitted with fields %v; the catalogue lists %v", u.position, u.variable, u.fields, fields)
		}
	}
	for name := range declared {
		if !used[name] {
			t.Errorf("event %s is in the catalogue but never emitted", name)
		}
	}
}

// declaredEvents maps the name of each event variable to the sorted fields of
// its event.
func declaredEvents(t *testing.T) map[string][]string {
	byName := map[string]event.Event{}
	for _, e := range event.Catalogue() {
		byName[e.Name] = e
	}
	out := map[string][]string{}
	for _, f := range parseDir(t, moduleRoot+"/core/event") {
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
			out[v.Names[0].Name] = sortedCopy(e.Fields)
			return true
		})
	}
	return out
}

func sortedCopy(s []string) []string {
	s = slices.Clone(s)
	slices.Sort(s)
	return s
}

func findEmitCalls(t *testing.T) []emitCall {
	var out []emitCall
	for _, dir := range []string{"/core", "/io"} {
		for _, f := range parseDir(t, moduleRoot+dir) {
			ast.Inspect(f.file, func(n ast.Node) bool {
				if u, ok := parseEmitCall(f, n); ok {
					out = append(out, u)
				}
				return true
			})
		}
	}
	return out
}

// parseEmitCall parses a call of the form
// event.NAME.Emit(log, event.FIELD(...), ...).
func parseEmitCall(f parsedFile, n ast.Node) (emitCall, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return emitCall{}, false
	}
	emit, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || emit.Sel.Name != "Emit" {
		return emitCall{}, false
	}
	ev, ok := emit.X.(*ast.SelectorExpr)
	if !ok {
		return emitCall{}, false
	}
	u := emitCall{position: f.fset.Position(call.Pos()).String(), variable: ev.Sel.Name}
	for _, a := range call.Args[1:] {
		c, ok := a.(*ast.CallExpr)
		if !ok {
			continue
		}
		if s, ok := c.Fun.(*ast.SelectorExpr); ok {
			u.fields = append(u.fields, fieldKey(s.Sel.Name))
		}
	}
	u.fields = sortedCopy(u.fields)
	return u, true
}

// fieldKey converts the name of a field constructor to the key of the field.
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

type parsedFile struct {
	fset *token.FileSet
	file *ast.File
}

func parseDir(t *testing.T, dir string) []parsedFile {
	var out []parsedFile
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		set := token.NewFileSet()
		f, err := parser.ParseFile(set, path, nil, 0)
		out = append(out, parsedFile{set, f})
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}
