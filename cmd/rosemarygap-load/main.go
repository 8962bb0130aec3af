// Command rosemarygap-load is an open-loop load generator for a deployment. It
// reports the outcomes and latencies that callers see.
package main

import (
	"os"

	"rosemarygap/io/load/commandline"
)

func main() { os.Exit(commandline.Main()) }
