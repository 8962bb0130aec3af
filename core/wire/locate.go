package wire

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// located gives an error of a duration the path of the first field of v that
// b fills with a bad one: a Duration does not know where it stands.
func located(err error, b []byte, v any) error {
	if !errors.Is(err, status.ErrWrongUnit) {
		return err
	}
	if path, value := badDuration(b, reflect.TypeOf(v), ""); path != "" {
		return status.At(status.ErrWrongUnit, path, value)
	}
	return err
}

// badDuration returns the path and value of the first bad duration in the
// JSON text b of a value of type t; an empty path if there is none.
func badDuration(b []byte, t reflect.Type, path string) (at, value string) {
	if t == reflect.TypeFor[Duration]() {
		var d Duration
		if d.UnmarshalJSON(b) != nil {
			return path, strings.Trim(string(b), `"`)
		}
		return "", ""
	}
	switch t.Kind() {
	case reflect.Pointer:
		return badDuration(b, t.Elem(), path)
	case reflect.Struct:
		return badMember(b, t, path)
	case reflect.Slice:
		var list []json.RawMessage
		_ = json.Unmarshal(b, &list)
		for i, e := range list {
			if at, value = badDuration(e, t.Elem(), path+"["+strconv.Itoa(i)+"]"); at != "" {
				return at, value
			}
		}
	}
	return "", ""
}

func badMember(b []byte, t reflect.Type, path string) (at, value string) {
	var members map[string]json.RawMessage
	_ = json.Unmarshal(b, &members)
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		text, ok := members[name]
		inner := strings.TrimPrefix(path+"."+name, ".")
		if f.Anonymous {
			text, ok, inner = b, true, path
		}
		if !ok {
			continue
		}
		if at, value = badDuration(text, f.Type, inner); at != "" {
			return at, value
		}
	}
	return "", ""
}
