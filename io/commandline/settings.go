package commandline

import (
	"fmt"
	"reflect"
	"strings"
)

// SettingsPage returns the Markdown page docs/SETTINGS.md, made from the
// options of every subcommand.
func SettingsPage() []byte {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("Each setting is a flag and, where one is named, an environment variable; the flag goes\n")
	b.WriteString("first. A setting out of its range stops the program with exit code 2 and the code\n")
	b.WriteString("`bad-setting`, the flag and the value. This page is generated from the options by\n")
	b.WriteString("`make generate`.\n")
	p := reflect.TypeFor[Program]()
	for i := range p.NumField() {
		f := p.Field(i)
		fmt.Fprintf(&b, "\n## %s\n\n%s.\n\n", subcommandName(f), f.Tag.Get("help"))
		b.WriteString("| flag | environment | default | meaning |\n| --- | --- | --- | --- |\n")
		writeSettings(&b, f.Type.Elem())
	}
	return []byte(b.String())
}

func subcommandName(f reflect.StructField) string {
	return strings.TrimPrefix(f.Tag.Get("arg"), "subcommand:")
}

func writeSettings(b *strings.Builder, t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			writeSettings(b, f.Type)
			continue
		}
		s := parseTag(f)
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", s.flag, s.env, s.fallback, f.Tag.Get("help"))
	}
}

// settingTag is what the tags of one option say.
type settingTag struct {
	flag, env, fallback string
}

func parseTag(f reflect.StructField) settingTag {
	s := settingTag{flag: strings.ToUpper(f.Name), fallback: f.Tag.Get("default")}
	for part := range strings.SplitSeq(f.Tag.Get("arg"), ",") {
		switch {
		case strings.HasPrefix(part, "--"):
			s.flag = "`" + part + "`"
		case strings.HasPrefix(part, "env:"):
			s.env = "`" + strings.TrimPrefix(part, "env:") + "`"
		case part == "required":
			s.fallback = "required"
		}
	}
	return s
}
