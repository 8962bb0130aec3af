package commandline

import (
	"io"

	"rosemarygap/io/entry"
	"rosemarygap/io/process"
)

// EntryCommand runs the entry process on an entry VM.
type EntryCommand struct {
	entry.Options
}

// Run runs the entry until it gets a stop signal. It logs to the standard error.
func (c *EntryCommand) Run(io.Writer) error {
	e, err := entry.New(c.Options)
	if err != nil {
		return err
	}
	process.LimitMemory(c.MemoryLimit)
	return e.Run()
}
