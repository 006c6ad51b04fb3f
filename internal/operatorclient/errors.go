package operatorclient

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/operators/api"
)

var (
	// ErrNoAnswer is wrapped by errors of calls that received no answer.
	ErrNoAnswer = errors.New("no answer")
	// ErrNotSent is wrapped in addition to ErrNoAnswer if the connection could not
	// be opened, so that the call had no effect.
	ErrNotSent = errors.New("not sent")
	// ErrToken is wrapped if an entry rejects the operator token.
	ErrToken = errors.New("the operator token is missing or wrong; use the token whose SHA-256 stands in the entry's operator_token_sha256")
)

// UnreachableError reports that none of the listed entries answered.
type UnreachableError struct {
	// Attempts lists the failed call to each entry.
	Attempts []Attempt
}

// Attempt is a failed call to one entry.
type Attempt struct {
	Address string
	Err     error
}

func (e *UnreachableError) add(address string, err error) {
	e.Attempts = append(e.Attempts, Attempt{Address: address, Err: err})
}

// Error returns the attempts and the remedy.
func (e *UnreachableError) Error() string {
	reasons := make([]string, len(e.Attempts))
	for i, attempt := range e.Attempts {
		reasons[i] = attempt.Err.Error()
	}
	return fmt.Sprintf("no entry answers (%s); see that the entries run and that 'entries' in the settings lists their operators_address", strings.Join(reasons, "; "))
}

// Unwrap lets errors.Is find ErrNoAnswer.
func (e *UnreachableError) Unwrap() error { return ErrNoAnswer }

// StatusError is an answer with an HTTP error status.
type StatusError struct {
	Address string
	// Status is the HTTP status code, Message the entry's error message.
	Status  int
	Message string
}

// Error forms the line that a person reads.
func (e *StatusError) Error() string {
	if e.Status == fasthttp.StatusUnauthorized {
		return fmt.Sprintf("entry at %s: %v", e.Address, ErrToken)
	}
	return fmt.Sprintf("entry at %s answers %d: %s", e.Address, e.Status, e.Message)
}

// Unwrap lets errors.Is find ErrToken.
func (e *StatusError) Unwrap() error {
	if e.Status == fasthttp.StatusUnauthorized {
		return ErrToken
	}
	return nil
}

// AnswerError is an answer that is not the JSON of the operators' interface.
type AnswerError struct {
	Address string
	Err     error
}

// Error forms the line that a person reads.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("what answers at %s is not an entry of this version (%v); see that 'entries' in the settings lists operators_address, not callers_address", e.Address, e.Err)
}

// Unwrap returns the decoder's error.
func (e *AnswerError) Unwrap() error { return e.Err }

// CallError wraps the error of an HTTP call. The result wraps ErrNotSent if the
// call had no effect; otherwise it may have had one.
func CallError(address string, err error) error {
	var op *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || (errors.As(err, &op) && op.Op == "dial") {
		return fmt.Errorf("%s: %w, %w: %w", address, ErrNoAnswer, ErrNotSent, err)
	}
	return fmt.Errorf("%s: %w: %w", address, ErrNoAnswer, err)
}

func refusal(address string, status int, data []byte) error {
	var failure api.Failure
	if err := json.Unmarshal(data, &failure); err != nil || failure.Error == "" {
		failure.Error = fasthttp.StatusMessage(status)
	}
	return &StatusError{Address: address, Status: status, Message: failure.Error}
}
