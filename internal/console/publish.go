package console

import (
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operators/api"
)

// maxDocument is the size limit of one record in the log, in bytes.
const maxDocument = 1 << 20

// publish publishes the draft's document and shows the result.
func (c *Console) publish(v *visit) {
	x, err := c.open(v)
	if err != nil {
		c.fail(v, err)
		return
	}
	if _, _, err := x.applyForm(v); err != nil {
		c.fail(v, err)
		return
	}
	switch {
	case x.base.id == x.draft.id():
		c.accepted(v, x.draft.id(), x.base.version)
	case len(x.faults) > 0 && x.outdated():
		c.showDifference(v, x, false, "")
	case len(x.faults) > 0:
		c.review(v, x, fasthttp.StatusUnprocessableEntity, "There are faults; nothing was published.")
	default:
		c.send(v, x)
	}
}

// send publishes the document and shows the result. Sending a draft twice is
// harmless: it has the same id, and the second record of an id has no effect.
func (c *Console) send(v *visit, x change) {
	data, err := document.Encode(x.doc)
	if err != nil {
		c.fail(v, err)
		return
	}
	if len(data) > maxDocument {
		c.review(v, x, fasthttp.StatusUnprocessableEntity,
			fmt.Sprintf("The document has %d bytes, and the log takes %d. Nothing was published; make it smaller.", len(data), maxDocument))
		return
	}
	published, err := v.client.Publish(x.draft.id(), data)
	if err != nil {
		c.fail(v, err)
		return
	}
	c.options.Logger.WithFields(logrus.Fields{
		"document": published.ID,
		"base":     x.draft.Base,
		"result":   string(published.Result),
		"version":  published.Version,
	}).Info("document was published from the console")
	c.showResult(v, x, published)
}

func (c *Console) showResult(v *visit, x change, published api.Published) {
	switch published.Result {
	case api.ResultAccepted:
		c.accepted(v, x.draft.id(), published.Version)
	case api.ResultSuperseded:
		c.showSuperseded(v, x, published)
	case api.ResultInvalid:
		x.faults = documentFaults(published.Faults)
		c.review(v, x, fasthttp.StatusUnprocessableEntity, "The entry refused the document; nothing was published.")
	case api.ResultNotPublished:
		c.review(v, x, fasthttp.StatusServiceUnavailable, "Nothing was published: "+published.Detail)
	default:
		c.unknown(v, x, published.Detail)
	}
}

func documentFaults(faults []api.Fault) document.Faults {
	out := make(document.Faults, len(faults))
	for i, fault := range faults {
		out[i] = document.Fault{Path: fault.Path, Problem: fault.Problem, Remedy: fault.Remedy}
	}
	return out
}

// acceptance is the signed content of the URL of the page of an accepted
// document. The signature prevents forged links to pages that show a change as
// accepted.
type acceptance struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
}

// accepted redirects to the page of the accepted document, which can be reloaded.
func (c *Console) accepted(v *visit, id string, version int64) {
	data, err := json.Marshal(acceptance{ID: id, Version: version})
	if err != nil {
		c.fail(v, err)
		return
	}
	redirect(v.ctx, pathPublished+"?o="+url.QueryEscape(c.keys.sign(purposeOutcome, data)))
}

// publishedData is the content of the page of an accepted document.
type publishedData struct {
	ID      string
	Version int64
	Entries entriesData
	// Now and NowID are the version and id in force if another document followed.
	Now   int64
	NowID string
}

func (c *Console) published(v *visit) {
	var accepted acceptance
	data, ok := c.keys.verify(purposeOutcome, string(v.ctx.QueryArgs().Peek("o")))
	if !ok || json.Unmarshal(data, &accepted) != nil {
		redirect(v.ctx, pathOverview)
		return
	}
	content := publishedData{ID: accepted.ID, Version: accepted.Version, Entries: entriesOf(v.client.Statuses(), accepted.Version)}
	if now, err := load(v.client); err == nil && now.version > accepted.Version {
		content.Now, content.NowID = now.version, now.id
	}
	c.answer(v, fasthttp.StatusOK, pagePublished, page{Title: "Accepted", Body: content})
}

// supersededData is the content of the page of a superseded document.
type supersededData struct {
	// Winner is the id of the document that was accepted first. Version and Comment
	// are those of the document in force.
	Winner  string
	Version int64
	Comment string
	// Difference lists the changes from the document in force to the draft.
	Difference []document.Change
	Conflicts  []conflict
	Published  bool
}

// Table returns the changes with headings for the two operators' documents.
func (d supersededData) Table() changesTable {
	return changesTable{Before: "Theirs", After: "Yours", Changes: d.Difference}
}

// showSuperseded shows the difference of a superseded publication to the document
// in force.
func (c *Console) showSuperseded(v *visit, x change, published api.Published) {
	base, err := load(v.client)
	if err != nil {
		c.fail(v, err)
		return
	}
	x.base = base
	if err := x.rebuild(); err != nil {
		c.fail(v, err)
		return
	}
	c.showDifference(v, x, true, published.Winner)
}

// showDifference shows the difference between the document in force and the
// draft. sent is true if the draft was published and superseded, and false if
// another document came into force before that.
func (c *Console) showDifference(v *visit, x change, sent bool, winner string) {
	_, conflicts, err := x.draft.document(x.base.doc)
	if err != nil {
		c.fail(v, err)
		return
	}
	data := supersededData{
		Winner:     winner,
		Version:    x.base.version,
		Comment:    x.base.doc.Comment,
		Difference: listChanges(x.base.doc, x.doc),
		Conflicts:  conflicts,
		Published:  sent,
	}
	if winner == "" {
		data.Winner = x.base.id
	}
	sealed, err := x.draft.seal(c.keys)
	if err != nil {
		c.fail(v, err)
		return
	}
	c.answer(v, fasthttp.StatusConflict, pageSuperseded, page{Title: "Beaten by another document", Draft: sealed, Body: data})
}

// rebase rebases the draft onto the document in force. The draft gets a new id,
// because the old one may have been published and superseded.
func (c *Console) rebase(v *visit, x change) {
	rebased := newDraft(x.base.version)
	rebased.Comment = x.draft.Comment
	rebased.setChanges(x.base.doc, x.doc)
	x.draft = rebased
	if err := x.rebuild(); err != nil {
		c.fail(v, err)
		return
	}
	c.review(v, x, fasthttp.StatusOK, "")
}

// unknownData is the content of the page of an undecided publication.
type unknownData struct {
	ID         string
	Base       int64
	Detail     string
	Looked     string
	LogAnswers string
}

// unknown shows that the result is not known yet. The page keeps the draft.
func (c *Console) unknown(v *visit, x change, detail string) {
	data := unknownData{
		ID:         x.draft.id(),
		Base:       x.draft.Base,
		Detail:     detail,
		Looked:     c.options.Now().UTC().Format("15:04:05 MST"),
		LogAnswers: c.logAnswers(),
	}
	sealed, err := x.draft.seal(c.keys)
	if err != nil {
		c.fail(v, err)
		return
	}
	c.answer(v, fasthttp.StatusAccepted, pageUnknown, page{Title: "Not known yet", Draft: sealed, Body: data})
}

// recheck determines the result of an undecided publication if possible. If
// another version is in force, the document is sent again under its id: it can no
// longer come into force because its base is outdated, and the entry reports the
// earlier result.
func (c *Console) recheck(v *visit) {
	x, err := c.open(v)
	if err != nil {
		c.fail(v, err)
		return
	}
	switch {
	case x.base.id == x.draft.id():
		c.accepted(v, x.draft.id(), x.base.version)
	case !x.outdated():
		c.unknown(v, x, "The version that you started from is still in force, and your document is not.")
	case len(x.faults) > 0:
		c.showDifference(v, x, false, "")
	default:
		c.send(v, x)
	}
}
