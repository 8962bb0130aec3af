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

// countSuffix follows the path of a list in the name of the form value that holds
// the length of the list. A form holds a document as text, with one value for each
// field under the path of the field. It keeps the operator's input whether or not
// that input is valid.
const countSuffix = "#"

// maxListElements is the maximum length of one list in a form.
const maxListElements = 2048

// input is the template data of one form field.
type input struct {
	Path, Label, Help string
	// Kind is text, number, checkbox, list or hidden.
	Kind  string
	Value string
	// Choices is the id of the datalist with the known values, if there is one.
	Choices string
	Faults  []core.Fault
}

// fieldset is the template data of a group of form fields: a struct, a list or
// a list element.
type fieldset struct {
	Path, Title string
	Inputs      []input
	// Sets lists the nested fieldsets.
	Sets   []fieldset
	IsList bool
	// Count is the number of elements if the fieldset is a list.
	Count int
	// IsElement is true if the fieldset is an element of a list.
	IsElement bool
}

// integerText matches an integer of up to 18 digits, which fits an int64. It also
// matches leading zeros, which JSON doesn't allow.
var integerText = regexp.MustCompile(`^-?[0-9]{1,18}$`)

// withoutLeadingZeros returns an integer that matches integerText in the notation
// of JSON.
func withoutLeadingZeros(integer string) string {
	digits, negative := strings.CutPrefix(integer, "-")
	digits = strings.TrimLeft(digits[:len(digits)-1], "0") + digits[len(digits)-1:]
	if negative {
		return "-" + digits
	}
	return digits
}

// fieldName returns the JSON name of a struct field, and whether the JSON omits
// the field when it is empty.
func fieldName(f reflect.StructField) (name string, optional bool) {
	name, opts, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name, opts == "omitempty"
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func elementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// listLength returns the length of the list at path. The form may come from any
// client, so the length is limited to the range from 0 to maxListElements.
func listLength(form url.Values, path string) int {
	n, err := strconv.Atoi(form.Get(path + countSuffix))
	if err != nil {
		return 0
	}
	return min(max(n, 0), maxListElements)
}

// formBuilder builds the template data of a form from a Go type.
type formBuilder struct {
	form   url.Values
	faults []core.Fault
	help   map[string]string
}

func (b *formBuilder) fieldset(t reflect.Type, path, title string) fieldset {
	s := fieldset{Path: path, Title: title}
	for i := range t.NumField() {
		name, _ := fieldName(t.Field(i))
		fieldPath, fieldType := joinPath(path, name), t.Field(i).Type
		if fieldType.Kind() == reflect.Pointer {
			fieldType = fieldType.Elem()
		}
		switch {
		case fieldType.Kind() == reflect.Struct:
			s.Sets = append(s.Sets, b.fieldset(fieldType, fieldPath, name))
		case fieldType.Kind() == reflect.Slice && fieldType.Elem().Kind() == reflect.Struct:
			s.Sets = append(s.Sets, b.list(fieldType.Elem(), fieldPath, name))
		default:
			s.Inputs = append(s.Inputs, b.input(fieldType, fieldPath, name))
		}
	}
	return s
}

func (b *formBuilder) list(t reflect.Type, path, title string) fieldset {
	s := fieldset{Path: path, Title: title, IsList: true, Count: listLength(b.form, path)}
	for i := range s.Count {
		elemPath := elementPath(path, i)
		e := b.fieldset(t, elemPath, elemPath)
		e.IsElement = true
		s.Sets = append(s.Sets, e)
	}
	return s
}

// choicesByField maps the name of a field to the id of the datalist with its
// known values.
var choicesByField = map[string]string{"team": "known-teams", "batch-class": "known-classes", "avoid-service": "known-services"}

func (b *formBuilder) input(t reflect.Type, path, name string) input {
	in := input{Path: path, Label: name, Help: b.help[name], Kind: "text",
		Value: b.form.Get(path), Choices: choicesByField[name]}
	switch {
	case name == "format":
		in.Kind = "hidden"
	case t.Kind() == reflect.Bool:
		in.Kind = "checkbox"
	case t.Kind() == reflect.Slice:
		in.Kind = "list"
	case t.Kind() == reflect.Int:
		// The kind Int64 includes durations, which are entered as text.
		in.Kind = "number"
	}
	for _, f := range b.faults {
		if f.Path == path || (in.Kind == "list" && strings.HasPrefix(f.Path, path+"[")) {
			in.Faults = append(in.Faults, f)
		}
	}
	return in
}

// formToTree converts a form to the JSON tree of a value of type t. Text in a
// number field that is not a number is kept as a string, so that the validation
// reports it at its path.
func formToTree(form url.Values, t reflect.Type, path string) map[string]any {
	out := map[string]any{}
	for i := range t.NumField() {
		name, optional := fieldName(t.Field(i))
		v, filled := formToValue(form, t.Field(i).Type, joinPath(path, name))
		if filled || !optional {
			out[name] = v
		}
		if v == nil {
			delete(out, name)
		}
	}
	return out
}

// formToValue returns the JSON value at path, or nil if it is missing, and
// whether the field was filled in. A checkbox always counts as filled in, since a
// browser sends nothing for a cleared one.
func formToValue(form url.Values, t reflect.Type, path string) (v any, filled bool) {
	text := strings.TrimSpace(form.Get(path))
	switch t.Kind() {
	case reflect.Pointer:
		return formToValue(form, t.Elem(), path)
	case reflect.Struct:
		o := formToTree(form, t, path)
		return o, len(o) > 0
	case reflect.Bool:
		return text != "", true
	case reflect.Slice:
		return formToSlice(form, t.Elem(), path)
	case reflect.Int, reflect.Int64:
		switch {
		case text == "":
			return nil, false
		case integerText.MatchString(text):
			return json.Number(withoutLeadingZeros(text)), true
		}
	}
	return text, text != ""
}

func formToSlice(form url.Values, elem reflect.Type, path string) (v any, filled bool) {
	out := []any{}
	if elem.Kind() != reflect.Struct {
		for _, s := range strings.FieldsFunc(form.Get(path), func(r rune) bool { return r == ',' || r == ' ' }) {
			out = append(out, s)
		}
		return out, len(out) > 0
	}
	for i := range listLength(form, path) {
		out = append(out, formToTree(form, elem, elementPath(path, i)))
	}
	return out, len(out) > 0
}

// treeToForm converts a JSON tree to a form.
func treeToForm(tree any) url.Values {
	form := url.Values{}
	fillForm(form, tree, "")
	return form
}

func fillForm(form url.Values, tree any, path string) {
	switch v := tree.(type) {
	case map[string]any:
		for k, m := range v {
			fillForm(form, m, joinPath(path, k))
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

// valueToForm converts a value to a form by way of its JSON encoding.
func valueToForm(v any) (url.Values, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode value for form")
	}
	return jsonToForm(b)
}

// jsonToForm converts JSON text to a form.
func jsonToForm(b []byte) (url.Values, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return nil, errors.Wrap(err, "decode JSON for form")
	}
	return treeToForm(tree), nil
}

// removeElement removes element i of the list in the top-level field name of tree.
// It does nothing if the element doesn't exist.
func removeElement(tree map[string]any, name string, i int) {
	l, ok := tree[name].([]any)
	if ok && i >= 0 && i < len(l) {
		tree[name] = append(l[:i:i], l[i+1:]...)
	}
}
