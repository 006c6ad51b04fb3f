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

// exitError is an error with an exit code. With an empty text nothing more is
// printed, because the command has already printed its result.
type exitError struct {
	code int
	text string
}

// Error returns the message for the operator.
func (e *exitError) Error() string { return e.text }

// exit returns an exitError with a formatted message.
func exit(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// exitQuietly returns an error with the code and no message, for commands that
// have printed their result; it returns nil for exitDone.
func exitQuietly(code int) error {
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
