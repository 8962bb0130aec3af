package commandline

import (
	"io"

	"rosemarygap/io/entry"
)

// EntryCommand runs the process on an entry VM.
type EntryCommand struct {
	entry.Options
}

// Run serves until a stop signal. Log lines go to the standard error.
func (c *EntryCommand) Run(io.Writer) error {
	e, err := entry.New(c.Options)
	if err != nil {
		return err
	}
	return e.Run()
}
