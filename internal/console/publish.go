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

// maxDocument is the most that the log takes as one record.
const maxDocument = 1 << 20

// publish sends the draft's document and shows what became of it.
func (c *Console) publish(v *visit) {
	x, err := c.open(v)
	if err != nil {
		c.fail(v, err)
		return
	}
	if _, _, err := x.take(v); err != nil {
		c.fail(v, err)
		return
	}
	switch {
	case x.base.id == x.draft.id():
		c.accepted(v, x.draft.id(), x.base.version)
	case len(x.faults) > 0 && x.overtaken():
		c.beaten(v, x, false, "")
	case len(x.faults) > 0:
		c.review(v, x, fasthttp.StatusUnprocessableEntity, "There are faults; nothing was published.")
	default:
		c.send(v, x)
	}
}

// send publishes and shows the result. Sending again what was sent is harmless:
// the same draft has the same id, and the second record of an id has no effect.
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
	c.tell(v, x, published)
}

func (c *Console) tell(v *visit, x change, published api.Published) {
	switch published.Result {
	case api.ResultAccepted:
		c.accepted(v, x.draft.id(), published.Version)
	case api.ResultBeaten:
		c.lost(v, x, published)
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

// acceptance is what the address of the page of an accepted document carries,
// signed, so that nobody can make up a page that says a change is in force.
type acceptance struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
}

// accepted goes to a page of its own, which may be loaded again at will.
func (c *Console) accepted(v *visit, id string, version int64) {
	data, err := json.Marshal(acceptance{ID: id, Version: version})
	if err != nil {
		c.fail(v, err)
		return
	}
	redirect(v.ctx, pathPublished+"?o="+url.QueryEscape(c.keys.sign(purposeOutcome, data)))
}

// publishedData is what the page of an accepted document shows.
type publishedData struct {
	ID      string
	Version int64
	Entries entriesData
	// Now is the version in force at present where another document followed.
	Now   int64
	NowID string
}

func (c *Console) published(v *visit) {
	var told acceptance
	data, ok := c.keys.verify(purposeOutcome, string(v.ctx.QueryArgs().Peek("o")))
	if !ok || json.Unmarshal(data, &told) != nil {
		redirect(v.ctx, pathOverview)
		return
	}
	shown := publishedData{ID: told.ID, Version: told.Version, Entries: entriesOf(v.client.Statuses(), told.Version)}
	if now, err := load(v.client); err == nil && now.version > told.Version {
		shown.Now, shown.NowID = now.version, now.id
	}
	c.answer(v, fasthttp.StatusOK, pagePublished, page{Title: "Accepted", Body: shown})
}

// beatenData is what the page of a beaten document shows.
type beatenData struct {
	// Winner came first; Version is in force now, with its author's Comment.
	Winner  string
	Version int64
	Comment string
	// Difference is what the draft would change in the document in force.
	Difference []document.Change
	Conflicts  []conflict
	Published  bool
}

// Table heads the changes as they are between two operators.
func (d beatenData) Table() changesTable {
	return changesTable{Before: "Theirs", After: "Yours", Changes: d.Difference}
}

// lost shows a publication that another document beat, against what is in force.
func (c *Console) lost(v *visit, x change, published api.Published) {
	base, err := load(v.client)
	if err != nil {
		c.fail(v, err)
		return
	}
	x.base = base
	if err := x.settle(); err != nil {
		c.fail(v, err)
		return
	}
	c.beaten(v, x, true, published.Winner)
}

// beaten shows the difference between theirs and yours. sent tells a document
// that was published and beaten from a draft that was overtaken before that.
func (c *Console) beaten(v *visit, x change, sent bool, winner string) {
	_, conflicts, err := x.draft.document(x.base.doc)
	if err != nil {
		c.fail(v, err)
		return
	}
	data := beatenData{
		Winner:     winner,
		Version:    x.base.version,
		Comment:    x.base.doc.Comment,
		Difference: shown(x.base.doc, x.doc),
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
	c.answer(v, fasthttp.StatusConflict, pageBeaten, page{Title: "Beaten by another document", Draft: sealed, Body: data})
}

// rebase puts the draft onto the document in force, under a new id: the old one
// may have been published and beaten.
func (c *Console) rebase(v *visit, x change) {
	onto := newDraft(x.base.version)
	onto.Comment = x.draft.Comment
	onto.take(x.base.doc, x.doc)
	x.draft = onto
	if err := x.settle(); err != nil {
		c.fail(v, err)
		return
	}
	c.review(v, x, fasthttp.StatusOK, "")
}

// unknownData is what the page of an undecided publication shows.
type unknownData struct {
	ID         string
	Base       int64
	Detail     string
	Looked     string
	LogAnswers string
}

// unknown shows that nobody can say yet; the draft stays in the page.
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

// lookAgain settles an undecided publication as far as it can be. Where another
// version is in force the document is sent again under its id: its base has
// passed, so it cannot come in force by that, and the entry says what became of
// it before.
func (c *Console) lookAgain(v *visit) {
	x, err := c.open(v)
	if err != nil {
		c.fail(v, err)
		return
	}
	switch {
	case x.base.id == x.draft.id():
		c.accepted(v, x.draft.id(), x.base.version)
	case !x.overtaken():
		c.unknown(v, x, "The version that you started from is still in force, and your document is not.")
	case len(x.faults) > 0:
		c.beaten(v, x, false, "")
	default:
		c.send(v, x)
	}
}
