// Package event is the catalogue of numbered log events.
//
// Invariant: every log line of the program is one catalogued event with the
// fields that the catalogue names, so that an operator or a program can act
// on the number alone. The catalogue is fixed at start and never changes.
package event

import (
	"slices"

	"github.com/hashicorp/go-hclog"
)

// Number identifies an event for good; a number is never used again.
type Number int

// Event is one entry of the catalogue.
type Event struct {
	// Number identifies the event; the thousands give its area.
	Number Number
	// Name is the message of the log line, in kebab case.
	Name string
	// Level is the level at which the event is logged.
	Level hclog.Level
	// Fields are the keys that accompany the event.
	Fields []string
	// Meaning and Action document the event for people on call.
	Meaning, Action string
}

// Field is one typed value of a log line.
type Field struct {
	key   string
	value any
}

// Emit writes e to l. Fields that the catalogue does not name are a
// programming fault that the catalogue test finds.
func (e Event) Emit(l hclog.Logger, fields ...Field) {
	if !enabled(l, e.Level) {
		return
	}
	args := make([]any, 0, 2+2*len(fields))
	args = append(args, "event", int(e.Number))
	for _, f := range fields {
		args = append(args, f.key, f.value)
	}
	l.Log(e.Level, e.Name, args...)
}

func enabled(l hclog.Logger, level hclog.Level) bool {
	return level >= l.GetLevel()
}

// Catalogue returns every event by rising number.
func Catalogue() []Event {
	all := slices.Concat(callerEvents, endpointEvents, workerEvents,
		platformEvents, operatorEvents, processEvents, jobEvents)
	slices.SortFunc(all, func(a, b Event) int { return int(a.Number - b.Number) })
	return all
}
