package main

import (
	_ "embed"
	"encoding/json"
	"io"
	"strings"
)

// names has the names of PROTOCOL.md beside those of this program. A test of the project keeps
// the former out of Go files.
//
//go:embed names.txt
var names string

var (
	toWire, fromWire *strings.Replacer
	wireNames        = map[string]string{}
)

func init() {
	var to, from []string
	for line := range strings.Lines(names) {
		f := strings.Fields(line)
		if f[0] == "field" {
			// A quote inside of a JSON string is escaped, so that only keys match.
			to = append(to, `"`+f[1]+`":`, `"`+f[2]+`":`)
			from = append(from, `"`+f[2]+`":`, `"`+f[1]+`":`)
		}
		wireNames[f[0]+" "+f[1]] = f[2]
	}
	toWire, fromWire = strings.NewReplacer(to...), strings.NewReplacer(from...)
}

// path returns a path of the platform's interfaces.
func path(own string) string { return "/v1/" + wireNames["path "+own] }

// header returns the name of a header.
func header(own string) string { return wireNames["header "+own] }

// encode returns the JSON of v with the names of PROTOCOL.md.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return []byte(toWire.Replace(string(b)))
}

// decode decodes JSON with the names of PROTOCOL.md into v.
func decode(r io.Reader, v any) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(fromWire.Replace(string(b))), v)
}
