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
	pageLogin     = "login"
	pageProblem   = "problem"
	pageOverview  = "overview"
	pageEdit      = "edit"
	pageReview    = "review"
	pagePublished = "published"
	pageBeaten    = "beaten"
	pageUnknown   = "unknown"
)

type pages map[string]*template.Template

// loadPages parses the embedded templates, which the tests render, so that a
// template that does not parse never ships.
func loadPages() pages {
	out := make(pages)
	for _, name := range []string{pageLogin, pageProblem, pageOverview, pageEdit, pageReview, pagePublished, pageBeaten, pageUnknown} {
		out[name] = template.Must(template.ParseFS(files, "templates/layout.html", "templates/"+name+".html"))
	}
	return out
}

// page is what every template gets.
type page struct {
	Title string
	// Notice says that something was done, Problem that something is wrong.
	Notice, Problem string
	LoggedIn        bool
	CSRF            string
	// Draft is the sealed draft; empty outside of a change.
	Draft string
	// Changing describes the draft; nil outside of a change.
	Changing *changing
	Body     any
}

// changing is what the pages of a draft show of it.
type changing struct {
	Base    int64
	Changes int
	Faults  int
	Parts   []part
	// Here is the page shown, as a value of the field "go".
	Here string
}

// part is a page of the draft to go to.
type part struct {
	ID, Title string
	Faults    int
	Current   bool
}

// show renders into memory first, so that a failure does not leave half a page.
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

// answer shows a page to an operator who is logged in.
func (c *Console) answer(v *visit, status int, name string, p page) {
	p.LoggedIn = true
	p.CSRF = v.csrf
	c.show(v.ctx, status, name, p)
}

// fail shows what went wrong. A token that the entries refuse ends the session.
func (c *Console) fail(v *visit, err error) {
	if errors.Is(err, operatorclient.ErrToken) {
		c.forget(v.ctx, "The entries refuse this token: "+err.Error())
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
