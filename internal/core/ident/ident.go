// Package ident names entry processes and the requests that they own.
//
// A request id contains the incarnation that may dispatch it, so the owner of a
// request is found from its id without a lookup or agreement.
package ident

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Incarnation names one run of one entry process. A restarted process draws a
// new one, so an id formed before the restart is never mistaken for its own.
// Form: 16 hex digits of randomness, '-', start time in hex seconds.
type Incarnation string

// RequestID is "<incarnation>.<epoch>.<suffix>". The epoch counts whole prefix
// periods since the incarnation started; the suffix is the caller's own.
type RequestID string

// Prefix is "<incarnation>.<epoch>.", to which a caller appends its own suffix.
type Prefix string

// MaxRequestIDLength is the maximum length of a request id from a caller, in bytes.
const MaxRequestIDLength = 128

// ErrMalformed is wrapped by every error that Parse returns.
var ErrMalformed = errors.New("malformed request id")

// NewIncarnation forms an incarnation from 64 random bits and the start time in
// Unix seconds; both come from the caller, since the core has no random source.
func NewIncarnation(random uint64, startUnix int64) Incarnation {
	return Incarnation(fmt.Sprintf("%016x-%x", random, startUnix))
}

// PrefixFor forms the prefix that an incarnation issues during an epoch.
func PrefixFor(owner Incarnation, epoch uint32) Prefix {
	return Prefix(string(owner) + "." + strconv.FormatUint(uint64(epoch), 10) + ".")
}

// ID appends a suffix to the prefix.
func (p Prefix) ID(suffix string) RequestID {
	return RequestID(string(p) + suffix)
}

// Parts is a parsed request id.
type Parts struct {
	Owner  Incarnation
	Epoch  uint32
	Suffix string
}

// Parse splits a request id; the error states what is wrong with it.
func Parse(id RequestID) (Parts, error) {
	if len(id) > MaxRequestIDLength {
		return Parts{}, fmt.Errorf("%w: longer than %d bytes", ErrMalformed, MaxRequestIDLength)
	}
	owner, rest, found := strings.Cut(string(id), ".")
	if !found || owner == "" {
		return Parts{}, fmt.Errorf("%w: no owner before the first '.'", ErrMalformed)
	}
	epochText, suffix, found := strings.Cut(rest, ".")
	if !found || suffix == "" {
		return Parts{}, fmt.Errorf("%w: no suffix after the second '.'", ErrMalformed)
	}
	epoch, err := strconv.ParseUint(epochText, 10, 32)
	if err != nil {
		return Parts{}, fmt.Errorf("%w: epoch is not a number", ErrMalformed)
	}
	if !printable(suffix) {
		return Parts{}, fmt.Errorf("%w: suffix has characters other than letters, digits, '-', '_', '.'", ErrMalformed)
	}
	return Parts{Owner: Incarnation(owner), Epoch: uint32(epoch), Suffix: suffix}, nil
}

func printable(s string) bool {
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' && r != '.' {
			return false
		}
	}
	return true
}
