// Command rosemarygap-trial compares the placement and interference policies
// with baseline policies and prints the results as JSON, optionally preceded by a
// Markdown table.
package main

import (
	"fmt"
	"os"

	"rosemarygap/io/process"
	"rosemarygap/io/trial"

	"github.com/alexflint/go-arg"
)

func main() {
	var o trial.Options
	arg.MustParse(&o)
	if err := trial.RunAll(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.ExitFailed)
	}
}
