// Package record defines the records that entries append to the platform's
// log. Each append is one CBOR record in a named stream.
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
	// StreamQuarantines holds quarantines of requests that crash targets.
	StreamQuarantines Stream = "verdicts"
	// StreamOrders holds orders to targets. The offset of an order is its
	// fencing number.
	StreamOrders Stream = "orders"
)

// ClaimsStream returns the name of the stream of one partition of idempotency
// keys.
func ClaimsStream(partition int) Stream {
	return Stream(fmt.Sprintf("claims-%d", partition))
}

// Record is the content of one append. Exactly one field is set.
type Record struct {
	Document    *Document    `cbor:"1,keyasint,omitempty"`
	Claims      []Claim      `cbor:"2,keyasint,omitempty"`
	Releases    []Claim      `cbor:"3,keyasint,omitempty"`
	Quarantines []Quarantine `cbor:"4,keyasint,omitempty"`
	Order       *Order       `cbor:"5,keyasint,omitempty"`
}

// Document holds the JSON encoding of a document.Document.
type Document struct {
	Data []byte `cbor:"1,keyasint"`
	// Version is 0 in a publication, whose version is the record's own offset.
	// In a renewal, which an entry appends before the log's retention drops an
	// accepted document, it is the document's original version.
	Version int64 `cbor:"2,keyasint,omitempty"`
	// Through is set in a renewal to the last offset that the renewing entry
	// had evaluated. Version was in force at that offset, so a reader that has
	// every record after Through can evaluate them without the earlier ones.
	Through int64 `cbor:"3,keyasint,omitempty"`
}

// Claim is a request's claim to run for an idempotency key; see package claims.
type Claim struct {
	Key request.KeyHash `cbor:"1,keyasint"`
	ID  ident.RequestID `cbor:"2,keyasint"`
}

// Quarantine excludes a request that crashes targets from execution.
type Quarantine struct {
	Fingerprint request.Fingerprint `cbor:"1,keyasint"`
	Crashes     []string            `cbor:"2,keyasint,omitempty"`
	// Prefix: the fingerprint is that of a prompt's beginning.
	Prefix bool `cbor:"3,keyasint,omitempty"`
}

// Order is the model, version and adapters that a target must hold. It is
// absolute, so repeating it is harmless.
type Order struct {
	Target   string            `cbor:"1,keyasint"`
	Model    string            `cbor:"2,keyasint"`
	Version  string            `cbor:"3,keyasint"`
	Adapters []string          `cbor:"4,keyasint,omitempty"`
	Holder   ident.Incarnation `cbor:"5,keyasint"`
}

// ErrMalformed is wrapped by every error of Decode.
var ErrMalformed = errors.New("malformed log record")

// Encode returns the CBOR encoding of r. It fails only on a programming error.
func Encode(r Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode log record: %w", err)
	}
	return data, nil
}

// Decode parses the CBOR encoding of a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return r, nil
}
