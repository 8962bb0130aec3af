package operator

import (
	"bytes"
	_ "embed"
	"slices"
	"strconv"
	"strings"
	"sync"

	"rosemarygap/core/status"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

//go:embed schema.json
var schemaText []byte

// Schema returns the published JSON Schema of the document.
func Schema() []byte { return bytes.Clone(schemaText) }

const schemaName = "rosemarygap-config-1.json"

// compiled is the schema, compiled at its first use.
var compiled = sync.OnceValues(func() (*jsonschema.Schema, error) {
	tree, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, errors.Wrap(err, "decode schema")
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaName, tree); err != nil {
		return nil, errors.Wrap(err, "add schema")
	}
	return c.Compile(schemaName)
})

// checkShape returns every fault that the schema finds in tree.
func checkShape(tree any) []Fault {
	s, err := compiled()
	if err != nil {
		return []Fault{{status.ErrInternal.Code(), "schema", err.Error()}}
	}
	var invalid *jsonschema.ValidationError
	if errors.As(s.Validate(tree), &invalid) {
		return shapeFaults(tree, invalid)
	}
	return nil
}

// shapeFaults returns the faults at the leaves of a validation error.
func shapeFaults(tree any, e *jsonschema.ValidationError) []Fault {
	if len(e.Causes) == 0 {
		return leafFaults(tree, e)
	}
	var out []Fault
	for _, c := range e.Causes {
		out = append(out, shapeFaults(tree, c)...)
	}
	return out
}

func leafFaults(tree any, e *jsonschema.ValidationError) []Fault {
	path, value := locate(tree, e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return membersAt(status.ErrMissingField, path, k.Missing)
	case *kind.AdditionalProperties:
		return membersAt(status.ErrUnknownField, path, k.Properties)
	}
	code := leafCode(e).Code()
	return []Fault{{code, path, shown(value)}}
}

func membersAt(err *status.Error, path string, keys []string) []Fault {
	out := make([]Fault, 0, len(keys))
	for _, k := range slices.Sorted(slices.Values(keys)) {
		out = append(out, Fault{err.Code(), member(path, clip(k)), ""})
	}
	return out
}

func leafCode(e *jsonschema.ValidationError) *status.Error {
	duration := strings.Contains(e.SchemaURL, "/duration")
	switch e.ErrorKind.(type) {
	case *kind.Type:
		if duration {
			return status.ErrWrongUnit
		}
		return status.ErrWrongType
	case *kind.Pattern:
		if duration {
			return status.ErrWrongUnit
		}
		return status.ErrBadName
	}
	return status.ErrOutOfRange
}

// locate returns the path and value of a location in tree.
func locate(tree any, location []string) (string, any) {
	path, at := "", tree
	for _, token := range location {
		switch v := at.(type) {
		case list:
			i, err := strconv.Atoi(token)
			if err != nil || i >= len(v) {
				return path, nil
			}
			path, at = element(path, i), v[i]
		case object:
			path, at = member(path, token), v[token]
		}
	}
	return path, at
}
