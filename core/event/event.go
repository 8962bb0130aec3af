// Package event defines the catalogue of numbered log events.
//
// Invariant: every log line of the program is one event of the catalogue and
// carries the fields listed there, so that an operator or a program can act on
// the event number alone. The catalogue does not change while the program runs.
package event

import (
	"slices"

	"github.com/hashicorp/go-hclog"
)

// Number identifies an event permanently. Numbers are never reused.
type Number int

// Event is one entry of the catalogue.
type Event struct {
	// Number identifies the event. Its thousands digit gives the subsystem.
	Number Number
	// Name is the message of the log line, in kebab-case.
	Name string
	// Level is the level at which the event is logged.
	Level hclog.Level
	// Fields lists the keys of the fields that the event carries.
	Fields []string
	// Meaning and Action document the event for on-call engineers.
	Meaning, Action string
}

// Field is a key and its value in a log line.
type Field struct {
	key   string
	value any
}

// Emit logs e to l. Passing a field that the catalogue does not list for e is a
// programming error, which TestCatalogueMatchesCode detects.
func (e Event) Emit(l hclog.Logger, fields ...Field) {
	if !isEnabled(l, e.Level) {
		return
	}
	args := make([]any, 0, 2+2*len(fields))
	args = append(args, "event", int(e.Number))
	for _, f := range fields {
		args = append(args, f.key, f.value)
	}
	l.Log(e.Level, e.Name, args...)
}

func isEnabled(l hclog.Logger, level hclog.Level) bool {
	return level >= l.GetLevel()
}

// Catalogue returns all events in ascending order of their numbers.
func Catalogue() []Event {
	all := slices.Concat(callerEvents, endpointEvents, workerEvents,
		platformEvents, operatorEvents, processEvents, jobEvents)
	slices.SortFunc(all, func(a, b Event) int { return int(a.Number - b.Number) })
	return all
}
