package operator

import (
	"encoding/json"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/golden"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestGoldenParse compares all faults of a JSON text that is invalid in many ways
// with a golden file.
func TestGoldenParse(t *testing.T) {
	is := is.New(t)
	in, err := os.ReadFile("testdata/bad.json")
	is.NoErr(err)
	_, faults := Parse(in)
	b, err := json.MarshalIndent(faults, "", "  ")
	is.NoErr(err)
	golden.Check(t, "testdata/bad-faults.json", append(b, '\n'))
}

func schemaTree(t *testing.T) object {
	tree, faults, ok := scan(Schema())
	if !ok || len(faults) > 0 {
		t.Fatalf("schema: %v", faults)
	}
	return tree.(object)
}

// resolve returns the schema that s refers to, or s itself if it isn't a reference.
func resolve(root, s object) object {
	ref, ok := s["$ref"].(string)
	if !ok {
		return s
	}
	return root["$defs"].(object)[strings.TrimPrefix(ref, "#/$defs/")].(object)
}

// TestSchemaMatchesTypes checks that the schema and the Go types have the same
// fields and JSON types, and that the schema requires exactly the fields without
// omitempty.
func TestSchemaMatchesTypes(t *testing.T) {
	root := schemaTree(t)
	matchStruct(t, root, root, reflect.TypeFor[Document](), "document")
}

func matchStruct(t *testing.T, root, s object, typ reflect.Type, path string) {
	properties := s["properties"].(object)
	fields, required := map[string]bool{}, map[string]bool{}
	for i := range typ.NumField() {
		name, opts, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		fields[name] = true
		required[name] = opts != "omitempty"
		if p, ok := properties[name].(object); ok {
			matchType(t, root, p, typ.Field(i).Type, path+"."+name)
		}
	}
	if !reflect.DeepEqual(slices.Sorted(maps.Keys(properties)), slices.Sorted(maps.Keys(fields))) {
		t.Errorf("%s: schema has %v, type has %v", path, properties, fields)
	}
	for _, r := range s["required"].(list) {
		if !required[r.(string)] {
			t.Errorf("%s.%s: required by the schema, optional in the type", path, r)
		}
		delete(required, r.(string))
	}
	for name, isRequired := range required {
		if isRequired {
			t.Errorf("%s.%s: optional in the schema, required in the type", path, name)
		}
	}
}

func matchType(t *testing.T, root, p object, typ reflect.Type, path string) {
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	s := resolve(root, p)
	if s["const"] != nil {
		return
	}
	want := map[reflect.Kind]string{reflect.Int: "integer", reflect.Int64: "integer", reflect.Bool: "boolean",
		reflect.String: "string", reflect.Struct: "object", reflect.Slice: "array"}[typ.Kind()]
	if typ == reflect.TypeFor[wire.Duration]() {
		want = "string"
	}
	got := s["type"]
	if l, ok := got.(list); ok {
		got = l[0]
	}
	if got != want {
		t.Errorf("%s: schema says %v, type says %s", path, got, want)
		return
	}
	switch want {
	case "object":
		matchStruct(t, root, s, typ, path)
	case "array":
		matchType(t, root, s["items"].(object), typ.Elem(), path+"[]")
	}
}

// fullDocument returns a document in which every field is present.
func fullDocument(t *testing.T) *Document {
	d := example(t)
	d.Capacity = &Quota{Processors: MaxQuota, Memory: MaxQuota, Accelerators: MaxQuota}
	d.Rules = []Rule{{"apart", "entry-proof", "catalogue", []string{"kelowna"}}}
	d.Draining = []string{"worker-1"}
	return d
}

// leaf is a value in a document's tree that contains no other values.
type leaf struct {
	path   string
	schema object
	// set replaces the value in the tree.
	set func(v any)
}

// leavesOf returns the leaves of tree with their schemas.
func leavesOf(root, s object, tree any, path string, set func(any)) []leaf {
	s = resolve(root, s)
	var out []leaf
	switch v := tree.(type) {
	case object:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			p := s["properties"].(object)[k].(object)
			out = append(out, leavesOf(root, p, v[k], memberPath(path, k), func(n any) { v[k] = n })...)
		}
	case list:
		for i, e := range v {
			out = append(out, leavesOf(root, s["items"].(object), e, elementPath(path, i), func(n any) { v[i] = n })...)
		}
	default:
		out = append(out, leaf{path, s, set})
	}
	return out
}

func faultAt(faults []Fault, path string) *Fault {
	for i := range faults {
		if faults[i].Path == path {
			return &faults[i]
		}
	}
	return nil
}

// TestSchemaBoundsMatchCheck checks that Check and Parse accept each bound of the
// schema and reject the next value beyond it.
func TestSchemaBoundsMatchCheck(t *testing.T) {
	root, bounds := schemaTree(t), 0
	for i := range leavesOf(root, root, treeOf(fullDocument(t)), "", nil) {
		for bound, step := range map[string]int64{"minimum": -1, "maximum": 1} {
			tree := treeOf(fullDocument(t))
			l := leavesOf(root, root, tree, "", nil)[i]
			n, ok := l.schema[bound].(json.Number)
			if !ok {
				continue
			}
			bounds++
			limit, _ := n.Int64()
			for _, c := range []struct {
				value int64
				fault bool
			}{{limit, false}, {limit + step, true}} {
				l.set(c.value)
				var d Document
				b, _ := json.Marshal(tree)
				if err := wire.Unmarshal(b, &d); err != nil {
					t.Fatal(err)
				}
				f := faultAt(Check(&d), l.path)
				if c.fault != (f != nil && f.Code == status.ErrOutOfRange.Code()) {
					t.Errorf("%s=%d: Check disagrees with the bound of the schema: %+v", l.path, c.value, f)
				}
				_, faults := Parse(b)
				f = faultAt(faults, l.path)
				if c.fault != (f != nil && f.Code == status.ErrOutOfRange.Code()) {
					t.Errorf("%s=%d: Parse disagrees with the bound of the schema: %+v", l.path, c.value, faults)
				}
			}
		}
	}
	is.New(t).True(bounds >= 10) // the test found the bounds of the schema
}

// TestEveryWrongTypeIsReported checks that a value of a wrong type is reported at
// its own path, regardless of faults elsewhere.
func TestEveryWrongTypeIsReported(t *testing.T) {
	root := schemaTree(t)
	text, err := json.Marshal(fullDocument(t))
	is.New(t).NoErr(err)
	rapid.Check(t, func(t *rapid.T) {
		tree, _, _ := scan(text)
		leaves := leavesOf(root, root, tree, "", nil)
		chosen := rapid.SliceOfNDistinct(rapid.IntRange(0, len(leaves)-1), 1, 5, rapid.ID[int]).Draw(t, "leaves")
		for _, i := range chosen {
			leaves[i].set(rapid.SampledFrom([]any{object{}, list{1}, 1.5}).Draw(t, "value"))
		}
		b, _ := json.Marshal(tree)
		_, faults := Parse(b)
		for _, i := range chosen {
			if faultAt(faults, leaves[i].path) == nil {
				t.Fatalf("no fault at %s: %+v", leaves[i].path, faults)
			}
		}
	})
}

func TestParseAcceptsExamples(t *testing.T) {
	is := is.New(t)
	files, err := os.ReadDir("../../examples")
	is.NoErr(err)
	for _, f := range files {
		// The files whose names start with job are examples of jobs.
		if !strings.HasSuffix(f.Name(), ".json") || strings.HasPrefix(f.Name(), "job") {
			continue
		}
		b, err := os.ReadFile("../../examples/" + f.Name())
		is.NoErr(err)
		_, faults := Parse(b)
		is.Equal(faults, nil) // faults of the example
	}
}
