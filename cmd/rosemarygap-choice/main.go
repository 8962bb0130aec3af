// Command rosemarygap-choice compares the endpoint selection policy with
// baseline policies and prints a table.
package main

import (
	"os"

	"rosemarygap/io/trial/choice"
)

func main() { choice.WriteTable(os.Stdout) }
