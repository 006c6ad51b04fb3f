// Package record defines what the project keeps on the platform's log: one
// CBOR record for each append, in a named stream.
package record

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/request"
)

// Stream names one ordered sequence of records on the log.
type Stream string

const (
	// StreamDocuments holds published documents and their renewals.
	StreamDocuments Stream = "documents"
	// StreamVerdicts holds convictions of requests that crash targets.
	StreamVerdicts Stream = "verdicts"
	// StreamOrders holds orders to targets; an order's offset fences it.
	StreamOrders Stream = "orders"
)

// ClaimsStream names the stream of one partition of idempotency keys.
func ClaimsStream(partition int) Stream {
	return Stream(fmt.Sprintf("claims-%d", partition))
}

// Record is one append. Exactly one kind of field is set.
type Record struct {
	Document *Document `cbor:"1,keyasint,omitempty"`
	Claims   []Claim   `cbor:"2,keyasint,omitempty"`
	Releases []Claim   `cbor:"3,keyasint,omitempty"`
	Verdicts []Verdict `cbor:"4,keyasint,omitempty"`
	Order    *Order    `cbor:"5,keyasint,omitempty"`
}

// Document carries the JSON of a document.Document.
type Document struct {
	Data []byte `cbor:"1,keyasint"`
	// Version is 0 on publication (the record's own offset is the version), and
	// the original version where an entry renews an accepted document before
	// the log's retention drops it.
	Version int64 `cbor:"2,keyasint,omitempty"`
	// Through is set on a renewal: the last offset that the renewing entry had
	// judged. Version was in force there, so a reader that has every record
	// after Through can judge them, although the ones before aged out.
	Through int64 `cbor:"3,keyasint,omitempty"`
}

// Claim ties an idempotency key to the request that may run for it.
type Claim struct {
	Key request.KeyHash `cbor:"1,keyasint"`
	ID  ident.RequestID `cbor:"2,keyasint"`
}

// Verdict convicts a request of crashing targets.
type Verdict struct {
	Fingerprint request.Fingerprint `cbor:"1,keyasint"`
	Deaths      []string            `cbor:"2,keyasint,omitempty"`
}

// Order says what a target must hold; absolute, so repeating it is harmless.
type Order struct {
	Target   string            `cbor:"1,keyasint"`
	Model    string            `cbor:"2,keyasint"`
	Version  string            `cbor:"3,keyasint"`
	Adapters []string          `cbor:"4,keyasint,omitempty"`
	Holder   ident.Incarnation `cbor:"5,keyasint"`
}

// ErrMalformed is wrapped by every error of Decode.
var ErrMalformed = errors.New("malformed log record")

// Encode forms the bytes of a record; it fails only on a programming error.
func Encode(r Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode log record: %w", err)
	}
	return data, nil
}

// Decode reads a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return r, nil
}
