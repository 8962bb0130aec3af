package commandline

import (
	"fmt"
	"reflect"
	"strings"
)

// SettingsPage returns the Markdown page docs/SETTINGS.md, which lists the
// options of all subcommands.
func SettingsPage() []byte {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("Each setting has a flag and, where listed, an environment variable; the flag takes\n")
	b.WriteString("precedence. Positional arguments are listed in capital letters. If a setting is invalid, the\n")
	b.WriteString("program exits with exit code 2 and reports the code `bad-setting`, the flag and the value. This\n")
	b.WriteString("page is generated from the options by `make generate`.\n")
	p := reflect.TypeFor[Program]()
	for i := range p.NumField() {
		f := p.Field(i)
		fmt.Fprintf(&b, "\n## %s\n\n%s.\n\n", subcommandName(f), f.Tag.Get("help"))
		b.WriteString("| flag | environment | default | meaning |\n| --- | --- | --- | --- |\n")
		writeSettings(&b, f.Type.Elem())
	}
	b.WriteString(limitsPage)
	return []byte(b.String())
}

// limitsPage describes the limits that the platform's settings file has.
const limitsPage = `
## Limits in the platform's settings file

` + "`scheduler` and `agent`" + ` read these from the table ` + "`limits`" + ` of the file of ` + "`--settings`" + `; ` + "`entry` and `guard`" + `
have the flags ` + "`--memory-limit` and `--descriptor-limit`" + ` for them. docs/design/clients.md says how they are used.

| field | default | meaning |
| --- | --- | --- |
| ` + "`memory-mb`" + ` | none | memory limit of the process in MiB: 60% is the soft limit of the runtime, 30% the most that all connections of clients hold; without it they hold at most 1 GiB |
| ` + "`max-fds`" + ` | that of the operating system | descriptors of the process: 200 are for files, half of the others the most connections of clients |

These limits have no setting. Clients inside the limits of the users' pages do not meet them.

| limit | value |
| --- | --- |
| header of a request | 32 KiB; 5 s to arrive |
| body of a submission | ` + "`max-body-bytes`" + ` of the configuration, 256 KiB without one |
| body of other requests of scheduler and agent | 1 MiB; of a heartbeat 64 KiB |
| body or response without any progress | 10 s |
| idle connection | 60 s, less when room is needed |
| steps of a job | 64 |
`

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
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", s.flag, s.env, s.defaultValue, f.Tag.Get("help"))
	}
}

// optionTags holds the flag, environment variable and default value in the
// struct tags of one option.
type optionTags struct {
	flag, env, defaultValue string
}

func parseTag(f reflect.StructField) optionTags {
	s := optionTags{flag: strings.ToUpper(f.Name), defaultValue: f.Tag.Get("default")}
	for part := range strings.SplitSeq(f.Tag.Get("arg"), ",") {
		switch {
		case strings.HasPrefix(part, "--"):
			s.flag = "`" + part + "`"
		case strings.HasPrefix(part, "env:"):
			s.env = "`" + strings.TrimPrefix(part, "env:") + "`"
		case part == "required":
			s.defaultValue = "required"
		}
	}
	return s
}
