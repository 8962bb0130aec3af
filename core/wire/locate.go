package wire

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// withFieldPath returns err, or for status.ErrWrongUnit the same code with the
// path and value of the first invalid duration in b. Duration.UnmarshalJSON
// can't report the path, because it doesn't know which field it decodes.
func withFieldPath(err error, b []byte, v any) error {
	if !errors.Is(err, status.ErrWrongUnit) {
		return err
	}
	if path, value := findBadDuration(b, reflect.TypeOf(v), ""); path != "" {
		return status.At(status.ErrWrongUnit, path, value)
	}
	return err
}

// findBadDuration returns the path and value of the first invalid duration in b,
// which is the JSON encoding of a value of type t at the given path. It returns
// an empty path if there is none.
func findBadDuration(b []byte, t reflect.Type, path string) (badPath, value string) {
	if t == reflect.TypeFor[Duration]() {
		var d Duration
		if d.UnmarshalJSON(b) != nil {
			return path, strings.Trim(string(b), `"`)
		}
		return "", ""
	}
	switch t.Kind() {
	case reflect.Pointer:
		return findBadDuration(b, t.Elem(), path)
	case reflect.Struct:
		return findBadDurationInStruct(b, t, path)
	case reflect.Slice:
		var list []json.RawMessage
		_ = json.Unmarshal(b, &list)
		for i, e := range list {
			if badPath, value = findBadDuration(e, t.Elem(), path+"["+strconv.Itoa(i)+"]"); badPath != "" {
				return badPath, value
			}
		}
	}
	return "", ""
}

// findBadDurationInStruct is findBadDuration for a struct type t.
func findBadDurationInStruct(b []byte, t reflect.Type, path string) (badPath, value string) {
	var members map[string]json.RawMessage
	_ = json.Unmarshal(b, &members)
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		memberJSON, ok := members[name]
		memberPath := strings.TrimPrefix(path+"."+name, ".")
		if f.Anonymous {
			memberJSON, ok, memberPath = b, true, path
		}
		if !ok {
			continue
		}
		if badPath, value = findBadDuration(memberJSON, f.Type, memberPath); badPath != "" {
			return badPath, value
		}
	}
	return "", ""
}
