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

// Schema returns the published JSON Schema of the configuration document.
func Schema() []byte { return bytes.Clone(schemaText) }

// schemaName is the name under which the compiler registers the schema. No file of
// this name is read.
const schemaName = "rosemarygap-config-1.json"

// compiledSchema returns the compiled schema. The first call compiles it.
var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
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

// validateSchema validates tree against the schema and returns every fault.
func validateSchema(tree any) []Fault {
	s, err := compiledSchema()
	if err != nil {
		return []Fault{{status.ErrInternal.Code(), "schema", err.Error()}}
	}
	var invalid *jsonschema.ValidationError
	if errors.As(s.Validate(tree), &invalid) {
		return schemaFaults(tree, invalid)
	}
	return nil
}

// schemaFaults returns the faults that e describes. A ValidationError is a tree in
// which each leaf is the violation of one schema keyword.
func schemaFaults(tree any, e *jsonschema.ValidationError) []Fault {
	if len(e.Causes) == 0 {
		return leafFaults(tree, e)
	}
	var out []Fault
	for _, c := range e.Causes {
		out = append(out, schemaFaults(tree, c)...)
	}
	return out
}

// leafFaults returns the faults of a ValidationError that has no causes.
func leafFaults(tree any, e *jsonschema.ValidationError) []Fault {
	path, value := locate(tree, e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return memberFaults(status.ErrMissingField, path, k.Missing)
	case *kind.AdditionalProperties:
		return memberFaults(status.ErrUnknownField, path, k.Properties)
	}
	code := leafError(e).Code()
	return []Fault{{code, path, formatValue(value)}}
}

// memberFaults returns a fault for each of the keys of the object at path.
func memberFaults(err *status.Error, path string, keys []string) []Fault {
	out := make([]Fault, 0, len(keys))
	for _, k := range slices.Sorted(slices.Values(keys)) {
		out = append(out, Fault{err.Code(), memberPath(path, truncate(k)), ""})
	}
	return out
}

// leafError returns the error for a ValidationError that has no causes. A violation of
// the schema "#/$defs/duration" is reported as a wrong unit.
func leafError(e *jsonschema.ValidationError) *status.Error {
	isDuration := strings.Contains(e.SchemaURL, "/duration")
	switch e.ErrorKind.(type) {
	case *kind.Type:
		if isDuration {
			return status.ErrWrongUnit
		}
		return status.ErrWrongType
	case *kind.Pattern:
		if isDuration {
			return status.ErrWrongUnit
		}
		return status.ErrBadName
	}
	return status.ErrOutOfRange
}

// locate returns the path and the value of an instance location within tree. It
// stops at the array if an index is invalid, and then returns a nil value.
func locate(tree any, location []string) (string, any) {
	path, value := "", tree
	for _, token := range location {
		switch v := value.(type) {
		case list:
			i, err := strconv.Atoi(token)
			if err != nil || i >= len(v) {
				return path, nil
			}
			path, value = elementPath(path, i), v[i]
		case object:
			path, value = memberPath(path, token), v[token]
		}
	}
	return path, value
}
