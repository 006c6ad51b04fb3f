package document

import (
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// ErrMalformed is wrapped by every error of Parse.
var ErrMalformed = errors.New("malformed configuration document")

// strict is how a document is read. An unknown or doubled name is refused, as
// it is most often a misspelt setting: taken silently, the operator would
// believe in force what is not.
var strict = json.JoinOptions(
	json.RejectUnknownMembers(true),
	jsontext.AllowDuplicateNames(false),
	json.WithUnmarshalers(json.JoinUnmarshalers(
		json.UnmarshalFromFunc(func(_ *jsontext.Decoder, t *Tier) error {
			t.DeadlineMS = DefaultTierDeadlineMS
			return json.SkipFunc
		}),
		json.UnmarshalFromFunc(func(_ *jsontext.Decoder, o *Organisation) error {
			o.Weight = DefaultWeight
			return json.SkipFunc
		}),
		json.UnmarshalFromFunc(func(_ *jsontext.Decoder, m *Model) error {
			m.ContextTokens = DefaultContextTokens
			return json.SkipFunc
		}),
		json.UnmarshalFromFunc(func(_ *jsontext.Decoder, c *Class) error {
			c.MaxInFlight = DefaultMaxInFlight
			return json.SkipFunc
		}),
	)),
)

// Parse reads a document strictly: unknown names, doubled names, names in
// another case and data after the end are refused. Numbers that are left out
// take the defaults. The sense is not checked; see Check.
func Parse(data []byte) (*Document, error) {
	d := defaultDocument()
	if err := json.Unmarshal(data, &d, strict); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	for i := range d.Classes {
		completeClass(&d.Classes[i])
	}
	return &d, nil
}

// completeClass fills in the first estimates, which only engines have.
func completeClass(c *Class) {
	if c.Kind != KindEngine {
		return
	}
	if c.PrefillRate == 0 {
		c.PrefillRate = DefaultPrefillRate
	}
	if c.StepMS == 0 {
		c.StepMS = DefaultStepMS
	}
}

// Encode forms the canonical bytes: no spaces, names in the order of the
// types, every default written out, so that a later build with other defaults
// reads the same document.
func Encode(d *Document) ([]byte, error) {
	data, err := json.Marshal(d, json.Deterministic(true))
	if err != nil {
		return nil, fmt.Errorf("encode configuration document: %w", err)
	}
	return data, nil
}

// EncodeIndent is Encode for files that people read.
func EncodeIndent(d *Document) ([]byte, error) {
	data, err := json.Marshal(d, json.Deterministic(true), jsontext.WithIndent("  "))
	if err != nil {
		return nil, fmt.Errorf("encode configuration document: %w", err)
	}
	return append(data, '\n'), nil
}
