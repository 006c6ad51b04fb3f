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
	// maxDraft bounds the encoded draft in a form, in bytes. maxDraftData bounds the
	// decompressed content, so that a small text cannot expand without limit.
	maxDraft     = 512 << 10
	maxDraftData = 4 << 20
	// idBytes is the length of the part of a hash that is used in an id, long enough
	// to prevent collisions between publications.
	idBytes = 16
)

var (
	errDraft       = errors.New("the draft is not one that this console gave out; it may be from before a restart of the console. Begin again from the overview")
	errDraftTooBig = errors.New("the draft holds more changes than a form can carry; publish what was kept so far, then go on")
)

// tierOrderPath is the path under which a change of the tiers' order is shown.
const tierOrderPath = "tiers (order, the most important first)"

// draft holds an operator's unpublished changes. The console is stateless: the
// draft is passed from page to page in a signed hidden field. It holds the
// difference to the document in force instead of a document, so it stays small
// with any number of organisations and can be rebased onto the document of
// another operator that was accepted first.
type draft struct {
	// Seed is a random text that makes the ids of drafts with equal changes differ.
	Seed string `json:"seed"`
	// Base is the version that the changes apply to.
	Base    int64             `json:"base"`
	Comment string            `json:"comment,omitempty"`
	Changes []document.Change `json:"changes,omitempty"`
	// TierOrder lists all tiers if their order differs from the base's; Changes does
	// not contain the position of an added tier.
	TierOrder []string `json:"tier_order,omitempty"`
	// BaseTierOrder is the base's order; it is set together with TierOrder.
	BaseTierOrder []string `json:"tiers_were,omitempty"`
}

func newDraft(base int64) draft {
	return draft{Seed: rand.Text(), Base: base}
}

// id returns the id of the publication, which is a hash of the draft. So the same
// draft published twice, after a lost answer or a reload, is one publication, and
// an edited draft is another one. If both had the same id, entries would ignore
// the edited draft and report the acceptance of the first.
func (d draft) id() string {
	data, err := json.Marshal(d)
	if err != nil {
		return d.Seed // unreachable: strings and numbers always encode
	}
	sum := sha256.Sum256(data)
	return "console-" + hex.EncodeToString(sum[:idBytes])
}

// document returns the base with the draft's changes applied.
func (d draft) document(base *document.Document) (*document.Document, []conflict, error) {
	out, conflicts, err := apply(base, d.Changes)
	if err != nil {
		return nil, nil, err
	}
	if len(d.TierOrder) > 0 && !slices.Equal(d.BaseTierOrder, tierNames(base)) {
		conflicts = append(conflicts, conflict{Path: tierOrderPath, Theirs: strings.Join(tierNames(base), ", "), Yours: strings.Join(d.TierOrder, ", ")})
	}
	orderTiers(out, d.TierOrder)
	out.ID = d.id()
	out.Base = d.Base
	out.Comment = d.Comment
	return out, conflicts, nil
}

// setChanges sets the draft's changes to the difference from base to edited.
func (d *draft) setChanges(base, edited *document.Document) {
	d.Changes = slices.DeleteFunc(document.Diff(base, edited), func(c document.Change) bool {
		return c.Path == "id" || c.Path == "base" || c.Path == "comment" || strings.HasSuffix(c.Path, ".order")
	})
	d.TierOrder, d.BaseTierOrder = nil, nil
	if names := tierNames(edited); !slices.Equal(names, tierNames(base)) {
		d.TierOrder, d.BaseTierOrder = names, tierNames(base)
	}
}

// listChanges returns the changes from base to edited, including a change of the
// tiers' order, for display.
func listChanges(base, edited *document.Document) []document.Change {
	var d draft
	d.setChanges(base, edited)
	if d.TierOrder == nil {
		return d.Changes
	}
	return append(d.Changes, document.Change{
		Path:   tierOrderPath,
		Before: strings.Join(tierNames(base), ", "),
		After:  strings.Join(tierNames(edited), ", "),
	})
}

// empty reports whether the draft has no changes.
func (d draft) empty() bool { return len(d.Changes) == 0 && len(d.TierOrder) == 0 }

// seal returns the draft compressed and signed, for a form field.
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

// openDraft decodes a sealed draft. It verifies the signature before it decodes
// the content.
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
