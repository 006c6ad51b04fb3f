// Command standin plays the cases of the review: it starts gateways as the deploy file does, and
// takes the place of the platform's store, of clients and of servers.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	codeHeld   = 0
	codeBroken = 1
	codeNotRun = 2
)

// cases maps the name of a case to its function, which returns the breaches of the rule that it saw.
// trouble: the disruption takes place.
var cases = map[string]func(r *record, trouble bool) (breaches []string, err error){
	"crowded":  playCrowded,
	"frozen":   playFrozen,
	"rejected": playRejected,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	if len(arguments) == 3 && arguments[0] == "server" {
		fmt.Fprintln(os.Stderr, serveUnframed(arguments[1], arguments[2]))
		return codeNotRun
	}
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return codeNotRun
	}
	r, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return codeNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, with the disruption: %t", arguments[0], trouble)
	breaches, err := cases[arguments[0]](r, trouble)
	if err != nil {
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return codeNotRun
	}
	for _, b := range breaches {
		r.line("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(breaches) > 0 {
		return codeBroken
	}
	r.line("the rule held")
	fmt.Println("the rule held")
	return codeHeld
}
