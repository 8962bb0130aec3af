package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"strconv"

	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// maxDepth is the maximum nesting depth of a document.
const maxDepth = 16

// integerPattern matches integers of up to 18 digits, which fit an int64. All
// numbers in a document are integers, and validating a number with a huge exponent
// against the schema would take very long.
var integerPattern = regexp.MustCompile(`^-?[0-9]{1,18}$`)

// object is a JSON object and list is a JSON array in the tree of a document.
type (
	object = map[string]any
	list   = []any
)

// scanner decodes JSON into a tree. It reports faults that encoding/json accepts
// silently, such as duplicate keys.
type scanner struct {
	decoder *json.Decoder
	faults  []Fault
}

func (s *scanner) add(err *status.Error, path, value string) {
	s.faults = append(s.faults, Fault{err.Code(), path, value})
}

// scan returns the tree of b. If b isn't a single JSON value or is nested more
// deeply than maxDepth, scan returns ok false and a fault with the byte offset.
func scan(b []byte) (tree any, faults []Fault, ok bool) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	s := &scanner{decoder: d}
	tree, err := s.value("", 0)
	if err == nil {
		_, err = d.Token()
		if errors.Is(err, io.EOF) {
			return tree, s.faults, true
		}
	}
	offset := strconv.FormatInt(d.InputOffset(), 10)
	return nil, []Fault{{status.ErrMalformedJSON.Code(), "byte-offset", offset}}, false
}

func (s *scanner) value(path string, depth int) (any, error) {
	t, err := s.decoder.Token()
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, status.ErrMalformedJSON
	}
	switch v := t.(type) {
	case json.Delim:
		if v == '{' {
			return s.object(path, depth)
		}
		return s.list(path, depth)
	case json.Number:
		if !integerPattern.MatchString(v.String()) {
			s.add(status.ErrOutOfRange, path, truncate(v.String()))
		}
		return v, nil
	}
	return t, nil
}

func (s *scanner) object(path string, depth int) (any, error) {
	o := object{}
	for s.decoder.More() {
		t, err := s.decoder.Token()
		if err != nil {
			return nil, err
		}
		key, ok := t.(string)
		if !ok {
			return nil, status.ErrMalformedJSON
		}
		at := memberPath(path, key)
		if _, duplicate := o[key]; duplicate {
			s.add(status.ErrDuplicateKey, memberPath(path, truncate(key)), truncate(key))
		}
		if o[key], err = s.value(at, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := s.decoder.Token()
	return o, err
}

func (s *scanner) list(path string, depth int) (any, error) {
	l := list{}
	for s.decoder.More() {
		v, err := s.value(elementPath(path, len(l)), depth+1)
		if err != nil {
			return nil, err
		}
		l = append(l, v)
	}
	_, err := s.decoder.Token()
	return l, err
}

// memberPath returns the path of member key of the object at path.
func memberPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// elementPath returns the path of element i of the array at path.
func elementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// maxValueBytes is the length in bytes to which truncate cuts a value in a fault,
// and a key in the path of a fault.
const maxValueBytes = 120

// truncate returns the first maxValueBytes bytes of s, or s if it is shorter.
func truncate(s string) string {
	if len(s) > maxValueBytes {
		return s[:maxValueBytes]
	}
	return s
}

// formatValue returns the text of a value for a fault.
func formatValue(v any) string {
	if s, ok := v.(string); ok {
		return truncate(s)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return truncate(string(b))
}
