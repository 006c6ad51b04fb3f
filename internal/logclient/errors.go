// Package platform holds the clients of the services that outlive the entries:
// the append-only log and the instance list, over the interfaces of
// docs/PLATFORM.md.
package logclient

import (
	"errors"
	"fmt"
	"net"
)

var (
	// ErrRefused: the log said no, or could not be reached at all; the call
	// had no effect.
	ErrRefused = errors.New("refused by the platform")
	// ErrUnknown: the answer was lost or makes no sense; the call may have had
	// an effect.
	ErrUnknown = errors.New("no answer from the platform")
	// ErrBusy: too many calls wait already; nothing was sent.
	ErrBusy = errors.New("too many calls to the platform")
	// errWentBack: the log's end lies before what was read already.
	errWentBack = errors.New("the log's end went back")
)

// statusError says which status a call got.
type statusError struct {
	Status int
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// definite reports whether a failed call certainly had no effect: no connection
// came about, so no byte left, or the platform answered that it took nothing.
// A timeout or a broken connection leaves it open.
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

// classify wraps an error of a call that has an effect.
func classify(err error) error {
	if definite(err) {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}
