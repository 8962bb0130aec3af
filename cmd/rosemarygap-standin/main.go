// Command rosemarygap-standin runs simple substitutes for the platform, workers
// and endpoints, for tests and the demo.
package main

import (
	"os"

	"rosemarygap/io/standin/commandline"
)

func main() { os.Exit(commandline.Main()) }
