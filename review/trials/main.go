// Command trials plays the cases 4 to 8 of the reviews: it starts gateways as separate processes on loopback
// addresses, with stand-ins for the store, the servers, the clients and the operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of the cases.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// maxTime bounds a case.
const maxTime = 116 * time.Second

// cases are the trials by name. Each reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"crashing-at-once":   trialCrashingAtOnce,
	"former-version":     trialFormerVersion,
	"version-in-service": trialVersionInService,
	"removed-machines":   trialRemovedMachines,
	"unread-answers":     trialUnreadAnswers,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trials CASE RECORD")
		return exitFailed
	}
	w, err := newWorld(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	ended := make(chan int, 1)
	go func() { ended <- w.play(cases[arguments[0]]) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-ended:
		return code
	case <-stopped:
	case <-time.After(maxTime):
	}
	w.record.notef("the case was stopped")
	return exitFailed
}

func (w *world) play(trial func(*world, bool) (bool, error)) int {
	broken, err := trial(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.record.notef("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		w.record.notef("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		w.record.notef("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
