package event

import (
	"fmt"
	"strings"

	"github.com/hashicorp/go-hclog"
)

// Page returns the Markdown page docs/EVENTS.md, which lists all events.
func Page() []byte {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Every log line is one JSON object with the event's number in `event`, its name in\n")
	b.WriteString("`@message`, and the fields below. The meaning of a number never changes. This page is\n")
	b.WriteString("generated from the catalogue by `make generate`.\n\n")
	b.WriteString("| event | name | level | fields | meaning | what to do |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", e.Number, e.Name,
			e.Level, strings.Join(e.Fields, ", "), e.Meaning, e.Action)
	}
	return []byte(b.String())
}

// AlertsPage returns the Markdown page docs/ALERTS.md, which lists the events
// of level warn and above for on-call engineers.
func AlertsPage() []byte {
	var b strings.Builder
	b.WriteString("# Alerts\n\n")
	b.WriteString("These events indicate a fault or a possible fault. Configure alerts on the number in\n")
	b.WriteString("`event`. [OPERATING.md](OPERATING.md) has more detail on some of them. This page is\n")
	b.WriteString("generated from the catalogue by `make generate`.\n\n")
	b.WriteString("| event | name | level | meaning | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		if e.Level >= hclog.Warn {
			fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
		}
	}
	return []byte(b.String())
}
