package console

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
)

const (
	fieldDraft   = "draft"
	fieldPage    = "page"
	fieldGo      = "go"
	fieldQuery   = "q"
	fieldShownQ  = "shown_q"
	fieldShownAt = "shown_at"
	fieldComment = "comment"
	goReview     = "review"
	goRebase     = "rebase"
	goSeparator  = "@"
)

// change is a draft together with its base.
type change struct {
	draft draft
	base  current
	// doc is the base with the draft's changes, faults the result of its check.
	doc    *document.Document
	faults document.Faults
}

// open reads the draft of a form, or begins a new draft if the form has none.
func (c *Console) open(v *visit) (change, error) {
	base, err := load(v.client)
	if err != nil {
		return change{}, err
	}
	x := change{draft: newDraft(base.version), base: base}
	if text := v.get(fieldDraft); text != "" {
		if x.draft, err = openDraft(c.keys, text); err != nil {
			return change{}, err
		}
	}
	return x, x.rebuild()
}

// rebuild recomputes the document and its faults from the base and the draft.
func (x *change) rebuild() error {
	doc, _, err := x.draft.document(x.base.doc)
	if err != nil {
		return err
	}
	x.doc = doc
	x.faults = doc.Check()
	return nil
}

// outdated reports whether another document came into force since the draft began.
func (x *change) outdated() bool { return x.draft.Base != x.base.version }

// edit applies a posted page to the draft and shows the requested page.
func (c *Console) edit(v *visit) {
	x, err := c.open(v)
	if err != nil {
		c.fail(v, err)
		return
	}
	if x.outdated() && v.get(fieldGo) == goRebase {
		c.rebase(v, x)
		return
	}
	if x.outdated() {
		c.showDifference(v, x, false, "")
		return
	}
	added, faults, err := x.applyForm(v)
	if err != nil {
		c.fail(v, err)
		return
	}
	if len(faults) > 0 {
		c.showFaulty(v, x, faults)
		return
	}
	c.showNext(v, x, added)
}

// applyForm applies a posted page to the draft. If the form has faults, the draft
// is unchanged.
func (x *change) applyForm(v *visit) (added string, faults []formFault, err error) {
	if v.get(fieldPage) == goReview {
		x.draft.Comment = strings.TrimSpace(v.get(fieldComment))
		return "", nil, x.rebuild()
	}
	from, found := sectionByID(v.get(fieldPage))
	if !found {
		return "", nil, nil
	}
	edited := clone(x.doc)
	added, faults = readForm(edited, from, v)
	if len(faults) > 0 {
		return "", faults, nil
	}
	x.draft.setChanges(x.base.doc, edited)
	return added, nil, x.rebuild()
}

// showNext shows the page named by the value of the pressed button, "<page>" or
// "<page>@<number>".
func (c *Console) showNext(v *visit, x change, added string) {
	target, number, _ := strings.Cut(v.get(fieldGo), goSeparator)
	if target == goReview {
		c.review(v, x, fasthttp.StatusOK, "")
		return
	}
	s, found := sectionByID(target)
	if !found {
		s = sections[0]
	}
	next := view{section: s}
	next.page, _ = strconv.Atoi(number)
	if target == v.get(fieldPage) {
		next.query = cmp.Or(added, strings.TrimSpace(v.get(fieldQuery)))
	}
	c.showSection(v, x, next, x.notice(v))
}

func (x *change) notice(v *visit) string {
	switch {
	case v.get(fieldPage) == "":
		return ""
	case len(x.faults) > 0:
		return "Kept in the draft, with faults to mend before it can be published."
	}
	return "Kept in the draft. Nothing is published yet."
}

// showSection shows the page of a section with the check's faults at the fields.
func (c *Console) showSection(v *visit, x change, shown view, notice string) {
	f := buildForm(x.doc, shown)
	f.placeFaults(x.doc, x.faults)
	c.showForm(v, x, f, fasthttp.StatusOK, page{Notice: notice})
}

// showFaulty shows the posted page again with the operator's input and its faults.
func (c *Console) showFaulty(v *visit, x change, faults []formFault) {
	s, _ := sectionByID(v.get(fieldPage))
	number, _ := strconv.Atoi(v.get(fieldShownAt))
	f := buildForm(x.doc, view{section: s, query: v.get(fieldShownQ), page: number})
	f.showInput(v, faults)
	c.showForm(v, x, f, fasthttp.StatusUnprocessableEntity, page{
		Problem: "Some fields could not be read, so nothing of this page is kept yet. Mend them below.",
	})
}

func (c *Console) showForm(v *visit, x change, f form, status int, p page) {
	p.Title = f.Section.Title
	p.Body = f
	c.showDraft(v, x, f.Section.ID, status, pageEdit, p)
}

// showDraft shows a page with the sealed draft in its form.
func (c *Console) showDraft(v *visit, x change, here string, status int, name string, p page) {
	sealed, err := x.draft.seal(c.keys)
	if err != nil {
		c.fail(v, err)
		return
	}
	p.Draft = sealed
	p.Changing = x.summary(here)
	c.answer(v, status, name, p)
}

func (x *change) summary(here string) *changing {
	out := &changing{Base: x.draft.Base, Changes: len(listChanges(x.base.doc, x.doc)), Faults: len(x.faults), Here: here}
	counts := make(map[string]int)
	for _, fault := range x.faults {
		counts[locate(fault.Path).section]++
	}
	for _, s := range sections {
		out.Parts = append(out.Parts, part{ID: s.ID, Title: s.Title, Faults: counts[s.ID], Current: s.ID == here})
	}
	return out
}

// reviewData is the content of the review page, which precedes publishing.
type reviewData struct {
	Changes []document.Change
	Faults  []listedFault
	Comment string
	// Ready is true if there are changes and no faults.
	Ready bool
}

// changesTable is a table of changes with its headings.
type changesTable struct {
	Before, After string
	Changes       []document.Change
}

// Table returns the changes with headings for the review.
func (d reviewData) Table() changesTable {
	return changesTable{Before: "In force", After: "Draft", Changes: d.Changes}
}

func (c *Console) review(v *visit, x change, status int, problem string) {
	data := reviewData{
		Changes: listChanges(x.base.doc, x.doc),
		Comment: x.draft.Comment,
		Ready:   len(x.faults) == 0 && !x.draft.empty(),
	}
	for _, fault := range x.faults {
		data.Faults = append(data.Faults, describeFault(x.doc, fault))
	}
	c.showDraft(v, x, goReview, status, pageReview, page{Title: "Review and publish", Problem: problem, Body: data})
}
