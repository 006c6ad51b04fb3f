package ctl

import (
	"errors"
	"fmt"

	"sycamoretrail/internal/operatorclient"
)

// Exit codes, for scripts.
const (
	exitDone        = 0
	exitFault       = 1
	exitRefused     = 2
	exitUnknown     = 3
	exitUnreachable = 4
)

// exitError ends the process with a code. With an empty text nothing more is
// printed: the command has said already what there is.
type exitError struct {
	code int
	text string
}

// Error is the line for the operator.
func (e *exitError) Error() string { return e.text }

// exit forms an exitError.
func exit(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// silent ends with a code after the command has printed its result.
func silent(code int) error {
	if code == exitDone {
		return nil
	}
	return &exitError{code: code}
}

func exitCode(err error) int {
	var exit *exitError
	var status *operatorclient.StatusError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &exit):
		return exit.code
	case errors.Is(err, operatorclient.ErrNoAnswer):
		return exitUnreachable
	case errors.As(err, &status):
		return exitRefused
	}
	return exitFault
}
