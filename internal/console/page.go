package console

import (
	"bytes"
	"embed"
	"errors"
	"html/template"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/operatorclient"
)

//go:embed templates
var files embed.FS

// Pages, by the names of their templates.
const (
	pageLogin      = "login"
	pageProblem    = "problem"
	pageOverview   = "overview"
	pageEdit       = "edit"
	pageReview     = "review"
	pagePublished  = "published"
	pageSuperseded = "beaten"
	pageUnknown    = "unknown"
)

type pages map[string]*template.Template

// loadPages parses the embedded templates. It panics on errors, which tests
// detect because they render the templates.
func loadPages() pages {
	out := make(pages)
	for _, name := range []string{pageLogin, pageProblem, pageOverview, pageEdit, pageReview, pagePublished, pageSuperseded, pageUnknown} {
		out[name] = template.Must(template.ParseFS(files, "templates/layout.html", "templates/"+name+".html"))
	}
	return out
}

// page is the data passed to every template.
type page struct {
	Title string
	// Notice reports a completed action, Problem an error.
	Notice, Problem string
	LoggedIn        bool
	CSRF            string
	// Draft is the sealed draft, or empty on pages without one.
	Draft string
	// Changing summarizes the draft; nil on pages without one.
	Changing *changing
	Body     any
}

// changing is the summary of a draft shown on its pages.
type changing struct {
	Base    int64
	Changes int
	Faults  int
	Parts   []part
	// Here is the current page, as a value of the form field "go".
	Here string
}

// part is a link to the page of a section of the draft.
type part struct {
	ID, Title string
	Faults    int
	Current   bool
}

// show renders a page. It renders into memory first, so that an error does not
// send a partial page.
func (c *Console) show(ctx *fasthttp.RequestCtx, status int, name string, p page) {
	var out bytes.Buffer
	if err := c.pages[name].ExecuteTemplate(&out, "layout", p); err != nil {
		c.options.Logger.WithError(err).WithField("page", name).Error("page was not rendered")
		ctx.Error("the page could not be rendered; see the console's log", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/html; charset=utf-8")
	ctx.SetBody(out.Bytes())
}

// answer shows a page to a logged-in operator.
func (c *Console) answer(v *visit, status int, name string, p page) {
	p.LoggedIn = true
	p.CSRF = v.csrf
	c.show(v.ctx, status, name, p)
}

// fail shows the error. If the entries reject the token, the session ends.
func (c *Console) fail(v *visit, err error) {
	if errors.Is(err, operatorclient.ErrToken) {
		c.endSession(v.ctx, "The entries refuse this token: "+err.Error())
		return
	}
	status := fasthttp.StatusBadGateway
	if errors.Is(err, errDraft) || errors.Is(err, errDraftTooBig) {
		status = fasthttp.StatusBadRequest
	}
	c.options.Logger.WithError(err).Warn("page was not served")
	c.answer(v, status, pageProblem, page{Title: "That did not work", Problem: err.Error()})
}

func style(ctx *fasthttp.RequestCtx) {
	data, err := files.ReadFile("templates/style.css")
	if err != nil {
		ctx.Error("no stylesheet", fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("text/css; charset=utf-8")
	ctx.SetBody(data)
}
