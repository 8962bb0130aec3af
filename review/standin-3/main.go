// Command standin-3 plays the scripted cases of the third review: it starts the project's own
// programs as separate processes on loopback addresses, beside stand-ins of the store, the
// workers and the clients. It exits with 1 if the rule of the case was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxDuration ends a case that hangs.
const maxDuration = 115 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER PROGRAM")
		os.Exit(failed)
	}
	play, ok := map[string]func(dir, program string, trouble bool) int{
		"cancel": playCancel, "cut": playCut, "hopeless": playHopeless, "leave": playLeave,
	}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(failed)
	}
	os.Exit(play(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// finish records the result and returns it.
func (w *world) finish(code int, format string, args ...any) int {
	w.record(format, args...)
	w.record("exit %d", code)
	w.close()
	return code
}

// begin starts a deployment, whose processes end after maxDuration at the latest.
func begin(dir, program string, schedulers, workers int, change func(*world)) (*world, error) {
	w, err := newWorld(dir, program, schedulers, workers, change)
	if w != nil {
		time.AfterFunc(maxDuration, func() {
			w.record("the case takes too long")
			w.close()
			os.Exit(failed)
		})
	}
	return w, err
}
