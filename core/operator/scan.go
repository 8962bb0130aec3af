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

// maxDepth bounds the nesting of a document.
const maxDepth = 16

// integerForm admits what fits an int64. Other forms have no place in a
// document, and a huge exponent would cost a schema check much time.
var integerForm = regexp.MustCompile(`^-?[0-9]{1,18}$`)

// object is a JSON object, and list a JSON array, of a document's tree.
type (
	object = map[string]any
	list   = []any
)

// scanner reads the tree of a document. It reports what the decoder of the
// standard library passes over in silence.
type scanner struct {
	decoder *json.Decoder
	faults  []Fault
}

func (s *scanner) add(err *status.Error, path, value string) {
	s.faults = append(s.faults, Fault{err.Code(), path, value})
}

// scan returns the tree of b, or ok false if b is no JSON value.
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
		if !integerForm.MatchString(v.String()) {
			s.add(status.ErrOutOfRange, path, clip(v.String()))
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
		at := member(path, key)
		if _, twice := o[key]; twice {
			s.add(status.ErrDuplicateKey, at, key)
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
		v, err := s.value(element(path, len(l)), depth+1)
		if err != nil {
			return nil, err
		}
		l = append(l, v)
	}
	_, err := s.decoder.Token()
	return l, err
}

// member returns the path of a member of the object at path.
func member(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// element returns the path of an element of the array at path.
func element(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// maxShown is the longest value that a fault repeats, in bytes.
const maxShown = 120

func clip(s string) string {
	if len(s) > maxShown {
		return s[:maxShown]
	}
	return s
}

// shown returns a value as a fault reports it.
func shown(v any) string {
	if s, ok := v.(string); ok {
		return clip(s)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return clip(string(b))
}
