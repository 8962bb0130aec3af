package operator

import (
	"bytes"
	"encoding/json"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	core "rosemarygap/core/operator"

	"github.com/pkg/errors"
)

// A form carries a document as text, one value for each field, named by the
// field's path: what an operator typed is kept whether or not it is valid.
// The value at a list's path with countSuffix is its length.
const countSuffix = "#"

// maxElements bounds the elements of one list in a form.
const maxElements = 2048

// input is one field of a form.
type input struct {
	Path, Label, Help string
	// Kind is text, number, checkbox, list or hidden.
	Kind  string
	Value string
	// Choices names the list of known values, if there is one.
	Choices string
	Faults  []core.Fault
}

// fieldset is a group of fields of a form.
type fieldset struct {
	Path, Title string
	Inputs      []input
	Sets        []fieldset
	// Count is the number of elements, as a value of the form, if this is a
	// list.
	IsList    bool
	Count     int
	IsElement bool
}

var integerText = regexp.MustCompile(`^-?[0-9]{1,18}$`)

// fieldName returns the JSON name of a struct's field, and whether the field
// is left out when it is empty.
func fieldName(f reflect.StructField) (name string, optional bool) {
	name, opts, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name, opts == "omitempty"
}

func joined(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func elementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

func count(form url.Values, path string) int {
	n, err := strconv.Atoi(form.Get(path + countSuffix))
	if err != nil {
		return 0
	}
	return min(max(n, 0), maxElements)
}

// formView builds the fields of a form for a type.
type formView struct {
	form   url.Values
	faults []core.Fault
	help   map[string]string
}

func (v *formView) fieldset(t reflect.Type, path, title string) fieldset {
	s := fieldset{Path: path, Title: title}
	for i := range t.NumField() {
		name, _ := fieldName(t.Field(i))
		at, typ := joined(path, name), t.Field(i).Type
		if typ.Kind() == reflect.Pointer {
			typ = typ.Elem()
		}
		switch {
		case typ.Kind() == reflect.Struct:
			s.Sets = append(s.Sets, v.fieldset(typ, at, name))
		case typ.Kind() == reflect.Slice && typ.Elem().Kind() == reflect.Struct:
			s.Sets = append(s.Sets, v.list(typ.Elem(), at, name))
		default:
			s.Inputs = append(s.Inputs, v.input(typ, at, name))
		}
	}
	return s
}

func (v *formView) list(t reflect.Type, path, title string) fieldset {
	s := fieldset{Path: path, Title: title, IsList: true, Count: count(v.form, path)}
	for i := range s.Count {
		at := elementPath(path, i)
		e := v.fieldset(t, at, at)
		e.IsElement = true
		s.Sets = append(s.Sets, e)
	}
	return s
}

// choices maps a field's name to the list of known values.
var choices = map[string]string{"team": "known-teams", "batch-class": "known-classes", "avoid-service": "known-services"}

func (v *formView) input(t reflect.Type, path, name string) input {
	in := input{Path: path, Label: name, Help: v.help[name], Kind: "text",
		Value: v.form.Get(path), Choices: choices[name]}
	switch {
	case name == "format":
		in.Kind = "hidden"
	case t.Kind() == reflect.Bool:
		in.Kind = "checkbox"
	case t.Kind() == reflect.Slice:
		in.Kind = "list"
	case t.Kind() == reflect.Int:
		in.Kind = "number"
	}
	for _, f := range v.faults {
		if f.Path == path || (in.Kind == "list" && strings.HasPrefix(f.Path, path+"[")) {
			in.Faults = append(in.Faults, f)
		}
	}
	return in
}

// treeOfForm turns a form into the JSON tree of a value of type t. Text that
// is no number stays text, so that the check reports it at its path.
func treeOfForm(form url.Values, t reflect.Type, path string) map[string]any {
	out := map[string]any{}
	for i := range t.NumField() {
		name, optional := fieldName(t.Field(i))
		v, filled := valueOfForm(form, t.Field(i).Type, joined(path, name))
		if filled || !optional {
			out[name] = v
		}
		if v == nil {
			delete(out, name)
		}
	}
	return out
}

// valueOfForm returns the value at path, nil if it is missing, and whether
// anything was filled in.
func valueOfForm(form url.Values, t reflect.Type, path string) (v any, filled bool) {
	text := strings.TrimSpace(form.Get(path))
	switch t.Kind() {
	case reflect.Pointer:
		return valueOfForm(form, t.Elem(), path)
	case reflect.Struct:
		o := treeOfForm(form, t, path)
		return o, len(o) > 0
	case reflect.Bool:
		return text != "", true
	case reflect.Slice:
		return sliceOfForm(form, t.Elem(), path)
	case reflect.Int, reflect.Int64:
		switch {
		case text == "":
			return nil, false
		case integerText.MatchString(text):
			return json.Number(text), true
		}
	}
	return text, text != ""
}

func sliceOfForm(form url.Values, elem reflect.Type, path string) (v any, filled bool) {
	out := []any{}
	if elem.Kind() != reflect.Struct {
		for _, s := range strings.FieldsFunc(form.Get(path), func(r rune) bool { return r == ',' || r == ' ' }) {
			out = append(out, s)
		}
		return out, len(out) > 0
	}
	for i := range count(form, path) {
		out = append(out, treeOfForm(form, elem, elementPath(path, i)))
	}
	return out, len(out) > 0
}

// formOfTree turns a JSON tree into a form.
func formOfTree(tree any) url.Values {
	form := url.Values{}
	fillForm(form, tree, "")
	return form
}

func fillForm(form url.Values, tree any, path string) {
	switch v := tree.(type) {
	case map[string]any:
		for k, m := range v {
			fillForm(form, m, joined(path, k))
		}
	case []any:
		fillList(form, v, path)
	case bool:
		if v {
			form.Set(path, "on")
		}
	case string:
		form.Set(path, v)
	case json.Number:
		form.Set(path, v.String())
	}
}

func fillList(form url.Values, l []any, path string) {
	var texts []string
	for i, e := range l {
		if s, ok := e.(string); ok {
			texts = append(texts, s)
			continue
		}
		fillForm(form, e, elementPath(path, i))
	}
	if len(texts) > 0 {
		form.Set(path, strings.Join(texts, ", "))
		return
	}
	form.Set(path+countSuffix, strconv.Itoa(len(l)))
}

// formOf turns a value into a form.
func formOf(v any) (url.Values, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode form")
	}
	return formOfText(b)
}

// formOfText turns JSON text into a form.
func formOfText(b []byte) (url.Values, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return nil, errors.Wrap(err, "decode form")
	}
	return formOfTree(tree), nil
}

// removeElement removes element i of the list at path within a tree.
func removeElement(tree map[string]any, path string, i int) {
	l, ok := tree[path].([]any)
	if ok && i >= 0 && i < len(l) {
		tree[path] = append(l[:i:i], l[i+1:]...)
	}
}
