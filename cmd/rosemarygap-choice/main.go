// Command rosemarygap-choice compares the choice among endpoints with its
// baselines and prints a table.
package main

import (
	"os"

	"rosemarygap/io/trial/choice"
)

func main() { choice.Table(os.Stdout) }
