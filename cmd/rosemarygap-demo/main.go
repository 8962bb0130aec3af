// Command rosemarygap-demo runs the demo against the processes that
// scripts/demo.sh starts, and prints the result as one line of JSON.
package main

import (
	"context"
	"fmt"
	"os"

	"rosemarygap/io/demo"
	"rosemarygap/io/process"

	"github.com/alexflint/go-arg"
)

func main() {
	var o demo.Options
	arg.MustParse(&o)
	if err := demo.Run(context.Background(), o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.ExitFailed)
	}
}
