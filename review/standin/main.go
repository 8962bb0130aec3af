// Command standin runs one scenario of the review: the project's own programs as separate
// processes, with stand-ins of the platform's store, its workers and its clients.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the scenario couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario plays a case and returns what broke the rule.
type scenario func(d *deployment, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	over := time.After(118 * time.Second)
	go func() {
		select {
		case <-stop:
		case <-over:
		}
		d.close()
		rec.close()
		os.Exit(2)
	}()
	broken, err := scenarios[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	d.close()
	for _, b := range broken {
		rec.printf("BROKEN %s", b)
		fmt.Println(b)
	}
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
	}
	rec.close()
	switch {
	case err != nil:
		os.Exit(2)
	case len(broken) > 0:
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
