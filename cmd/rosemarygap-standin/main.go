// Command rosemarygap-standin runs small stand-ins for the platform, workers
// and endpoints, for tests and the demo.
package main

import (
	"os"

	"rosemarygap/io/standin/commandline"
)

func main() { os.Exit(commandline.Main()) }
