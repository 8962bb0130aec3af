package commandline

import (
	"io"
	"os"

	"rosemarygap/io/guard"
	"rosemarygap/io/process"
)

// GuardCommand runs the process beside an endpoint.
type GuardCommand struct {
	guard.Options
}

// Run serves until a stop signal. Log lines go to the standard error.
func (c *GuardCommand) Run(io.Writer) error {
	return guard.Run(c.Options, process.NewLogger("guard", c.LogLevel, os.Stderr))
}
