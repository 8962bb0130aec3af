package event

import (
	"fmt"
	"strings"

	"github.com/hashicorp/go-hclog"
)

// Page returns the catalogue as the Markdown page docs/EVENTS.md.
func Page() []byte {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Every log line is one JSON object with the event's number in `event`, its name in\n")
	b.WriteString("`@message`, and the fields below. Numbers never change their meaning. This page is\n")
	b.WriteString("generated from the catalogue by `make generate`.\n\n")
	b.WriteString("| event | name | level | fields | meaning | what to do |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", e.Number, e.Name,
			e.Level, strings.Join(e.Fields, ", "), e.Meaning, e.Action)
	}
	return []byte(b.String())
}

// AlertsPage returns the events that people on call must know as the Markdown
// page docs/ALERTS.md.
func AlertsPage() []byte {
	var b strings.Builder
	b.WriteString("# Alerts\n\n")
	b.WriteString("These events mean that something is wrong or may be wrong. Set an alert on the number in\n")
	b.WriteString("`event`. [OPERATING.md](OPERATING.md) says more on the ones that need it. This page is\n")
	b.WriteString("generated from the catalogue by `make generate`.\n\n")
	b.WriteString("| event | name | level | meaning | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		if e.Level >= hclog.Warn {
			fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
		}
	}
	return []byte(b.String())
}
