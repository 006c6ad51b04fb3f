// Package logclient provides the clients of the platform's services, which outlive
// the entries: the append-only log and the instance list. Their interfaces are
// described in docs/PLATFORM.md.
package logclient

import (
	"errors"
	"fmt"
	"net"
)

var (
	// ErrRefused means that the log refused the call or could not be reached; the
	// call had no effect.
	ErrRefused = errors.New("refused by the platform")
	// ErrUnknown means that the answer was lost or is invalid; the call may have had
	// an effect.
	ErrUnknown = errors.New("no answer from the platform")
	// ErrBusy means that too many calls are waiting; nothing was sent.
	ErrBusy = errors.New("too many calls to the platform")
	// errEndMovedBack means that the log ends before records that were read already.
	errEndMovedBack = errors.New("the end of the log moved back")
)

// statusError is the unexpected HTTP status of a call.
type statusError struct {
	Status int
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// definite reports whether a failed call certainly had no effect: no connection was
// established, so nothing was sent, or the platform answered that it refused the call.
// After a timeout or a broken connection the effect is unknown.
func definite(err error) bool {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return true
	}
	var status *statusError
	if errors.As(err, &status) {
		return status.Status == 503 || status.Status >= 400 && status.Status < 500
	}
	return false
}

// classify wraps an error of a call that changes the log.
func classify(err error) error {
	if definite(err) {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}
