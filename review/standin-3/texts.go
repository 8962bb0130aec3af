package main

import (
	_ "embed"
	"fmt"
	"strings"
)

// texts has the messages and settings in the platform's words, which stay out of the Go code.
//
//go:embed texts.txt
var texts string

// text returns the text with the given name, with the arguments in it.
func text(name string, args ...any) string {
	_, rest, ok := strings.Cut(texts, "== "+name+"\n")
	if !ok {
		panic("no text " + name)
	}
	body, _, _ := strings.Cut(rest, "\n== ")
	body = strings.TrimSuffix(body, "\n")
	if len(args) == 0 {
		return body
	}
	return fmt.Sprintf(body, args...)
}
