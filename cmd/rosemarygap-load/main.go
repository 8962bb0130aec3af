// Command rosemarygap-load drives requests against a deployment with an open
// loop and reports what the callers met.
package main

import (
	"os"

	"rosemarygap/io/load/commandline"
)

func main() { os.Exit(commandline.Main()) }
