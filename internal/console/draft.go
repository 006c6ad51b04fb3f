package console

import (
	"bytes"
	"compress/flate"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"sycamoretrail/internal/core/document"
)

const (
	// maxDraft bounds the text of a draft in a form, in bytes; maxDraftData its
	// content, so that a small text cannot unfold without bound.
	maxDraft     = 512 << 10
	maxDraftData = 4 << 20
	// idBytes of a hash are enough that two publications never share an id.
	idBytes = 16
)

var (
	errDraft       = errors.New("the draft is not one that this console gave out; it may be from before a restart of the console. Begin again from the overview")
	errDraftTooBig = errors.New("the draft holds more changes than a form can carry; publish what was kept so far, then go on")
)

// orderOfTiers is the path under which the order of tiers is shown.
const orderOfTiers = "tiers (order, the most important first)"

// draft is what an operator has changed and not published. The console keeps
// nothing: the draft travels in a hidden field, signed, from page to page. It
// holds the difference to the document in force and not the document, so it
// stays small at any number of organisations, and can be put onto another
// operator's document that came first.
type draft struct {
	// Seed is drawn when the draft begins and keeps ids of drafts apart.
	Seed string `json:"seed"`
	// Base is the version that the changes apply to.
	Base    int64             `json:"base"`
	Comment string            `json:"comment,omitempty"`
	Changes []document.Change `json:"changes,omitempty"`
	// TierOrder lists all tiers where their order differs from the base's; the
	// place of an added tier is not in Changes.
	TierOrder []string `json:"tier_order,omitempty"`
	// TiersWere is the base's order, set beside TierOrder.
	TiersWere []string `json:"tiers_were,omitempty"`
}

func newDraft(base int64) draft {
	return draft{Seed: rand.Text(), Base: base}
}

// id is that of the publication. It follows from the content: the same draft
// published twice, after a lost answer or a reload, is one publication, and a
// draft that was edited in between is another. With one id for both, the entries
// would ignore the edited one and report the acceptance of the first.
func (d draft) id() string {
	data, err := json.Marshal(d)
	if err != nil {
		return d.Seed // strings and numbers always have a JSON
	}
	sum := sha256.Sum256(data)
	return "console-" + hex.EncodeToString(sum[:idBytes])
}

// document is the base with the draft's changes.
func (d draft) document(base *document.Document) (*document.Document, []conflict, error) {
	out, conflicts, err := apply(base, d.Changes)
	if err != nil {
		return nil, nil, err
	}
	if len(d.TierOrder) > 0 && !slices.Equal(d.TiersWere, tierNames(base)) {
		conflicts = append(conflicts, conflict{Path: orderOfTiers, Theirs: strings.Join(tierNames(base), ", "), Yours: strings.Join(d.TierOrder, ", ")})
	}
	orderTiers(out, d.TierOrder)
	out.ID = d.id()
	out.Base = d.Base
	out.Comment = d.Comment
	return out, conflicts, nil
}

// take makes the draft hold what makes the base into the edited document.
func (d *draft) take(base, edited *document.Document) {
	d.Changes = slices.DeleteFunc(document.Diff(base, edited), func(c document.Change) bool {
		return c.Path == "id" || c.Path == "base" || c.Path == "comment" || strings.HasSuffix(c.Path, ".order")
	})
	d.TierOrder, d.TiersWere = nil, nil
	if names := tierNames(edited); !slices.Equal(names, tierNames(base)) {
		d.TierOrder, d.TiersWere = names, tierNames(base)
	}
}

// shown lists the draft's changes for the operator, with the order of tiers.
func shown(base, edited *document.Document) []document.Change {
	var d draft
	d.take(base, edited)
	if d.TierOrder == nil {
		return d.Changes
	}
	return append(d.Changes, document.Change{
		Path:   orderOfTiers,
		Before: strings.Join(tierNames(base), ", "),
		After:  strings.Join(tierNames(edited), ", "),
	})
}

// empty: there is nothing to publish.
func (d draft) empty() bool { return len(d.Changes) == 0 && len(d.TierOrder) == 0 }

// seal forms the text that travels in the forms.
func (d draft) seal(k *keys) (string, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return "", fmt.Errorf("encode draft: %w", err)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return "", fmt.Errorf("pack draft: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return "", fmt.Errorf("pack draft: %w", err)
	}
	if err := w.Close(); err != nil {
		return "", fmt.Errorf("pack draft: %w", err)
	}
	text := k.sign(purposeDraft, packed.Bytes())
	if len(text) > maxDraft || len(data) > maxDraftData {
		return "", errDraftTooBig
	}
	return text, nil
}

// openDraft checks the signature before it looks at the content.
func openDraft(k *keys, text string) (draft, error) {
	var d draft
	if len(text) > maxDraft {
		return d, errDraftTooBig
	}
	packed, ok := k.verify(purposeDraft, text)
	if !ok {
		return d, errDraft
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDraftData))
	if err != nil {
		return d, errDraft
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return d, errDraft
	}
	return d, nil
}
