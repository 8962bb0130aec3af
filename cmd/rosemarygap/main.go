// Command rosemarygap schedules batch work beside latency-critical services
// and routes callers' requests to endpoints.
package main

import (
	"os"

	"rosemarygap/io/commandline"
)

func main() { os.Exit(commandline.Main()) }
