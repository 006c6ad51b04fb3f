package document

import (
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// ErrMalformed is wrapped by every error of Parse.
var ErrMalformed = errors.New("malformed configuration document")

// strictOptions are the options for parsing a document. Unknown and duplicate names
// are rejected, because they are usually misspelt settings, which otherwise would
// silently not be in force.
var strictOptions = json.JoinOptions(
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

// Parse parses a document strictly: it rejects unknown names, duplicate names, names
// in another case and trailing data. Omitted numbers get their defaults. Parse does
// not check the values; see Check.
func Parse(data []byte) (*Document, error) {
	d := defaultDocument()
	if err := json.Unmarshal(data, &d, strictOptions); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	for i := range d.Classes {
		setEngineDefaults(&d.Classes[i])
	}
	return &d, nil
}

// setEngineDefaults sets the initial estimates, which only engines have.
func setEngineDefaults(c *Class) {
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

// Encode returns the canonical encoding of d: no spaces, names in the order of the
// fields, and all defaults included, so that a later build with other defaults reads
// the same document.
func Encode(d *Document) ([]byte, error) {
	data, err := json.Marshal(d, json.Deterministic(true))
	if err != nil {
		return nil, fmt.Errorf("encode configuration document: %w", err)
	}
	return data, nil
}

// EncodeIndent is like Encode but indents the result for human readers.
func EncodeIndent(d *Document) ([]byte, error) {
	data, err := json.Marshal(d, json.Deterministic(true), jsontext.WithIndent("  "))
	if err != nil {
		return nil, fmt.Errorf("encode configuration document: %w", err)
	}
	return append(data, '\n'), nil
}
