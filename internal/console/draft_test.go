package console

import (
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operators/operatorstest"
)

// A draft holds differences. Applied to its base it must restore the edited
// document for any edits; otherwise a publication would contain changes that the
// operator has not seen.
func TestDraftRestoresEditedDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := operatorstest.Document(4)
		edited := clone(base)
		for range rapid.IntRange(0, 8).Draw(t, "edits") {
			edit(t, edited)
		}
		d := newDraft(1)
		d.Comment = edited.Comment
		d.setChanges(base, edited)
		again, conflicts, err := d.document(base)
		if err != nil || len(conflicts) > 0 {
			t.Fatalf("conflicts %v, error %v", conflicts, err)
		}
		edited.ID, edited.Base = d.id(), d.Base
		if left := document.Diff(edited, again); len(left) > 0 {
			t.Fatalf("differs: %v", left)
		}
	})
}

func edit(t *rapid.T, d *document.Document) {
	name := rapid.StringMatching(`[a-zA-Z0-9._-]{1,6}`).Draw(t, "name")
	switch rapid.IntRange(0, 5).Draw(t, "edit") {
	case 0:
		d.Limits.InFlight = rapid.Int().Draw(t, "in flight")
	case 1:
		if indexOf(reflect.ValueOf(d.Tiers), name) < 0 {
			at := rapid.IntRange(0, len(d.Tiers)).Draw(t, "at")
			d.Tiers = append(d.Tiers[:at:at], append([]document.Tier{{Name: name}}, d.Tiers[at:]...)...)
		}
	case 2:
		if len(d.Targets) > 0 {
			d.Targets = d.Targets[1:]
		}
	case 3:
		d.Organisations[1].Tiers = []string{name, "rider"}
	case 4:
		if indexOf(reflect.ValueOf(d.Pools), name) < 0 {
			d.Pools = append(d.Pools, document.Pool{Name: name})
		}
	case 5:
		d.Refusal.ShortShare = rapid.Float64Range(0, 1).Draw(t, "share")
	}
}

// A field of the document without a label would be shown as an unnamed control.
func TestEveryFieldHasALabel(t *testing.T) {
	whole := reflect.TypeOf(document.Document{})
	for i := range whole.NumField() {
		part := whole.Field(i)
		inner := part.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() != reflect.Struct {
			continue
		}
		s, known := sectionByID(jsonName(part))
		if !known {
			t.Errorf("no page for %s", jsonName(part))
		}
		for j := range inner.NumField() {
			key := s.ID + "." + jsonName(inner.Field(j))
			if labels[key].Text == "" {
				t.Errorf("no label for %s", key)
			}
		}
	}
}

func TestDraftIsBounded(t *testing.T) {
	k, err := newKeys()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := openDraft(k, strings.Repeat("A", maxDraft+1)); err != errDraftTooBig {
		t.Fatalf("a text over the bound: %v", err)
	}
	base := operatorstest.Document(1)
	edited := clone(base)
	edited.Organisations = operatorstest.Document(30_000).Organisations
	d := newDraft(1)
	d.setChanges(base, edited)
	if _, err := d.seal(k); err != errDraftTooBig {
		t.Fatalf("a draft over the bound: %v", err)
	}
}
