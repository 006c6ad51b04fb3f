// Package console serves the operators' pages: plain HTML forms for the whole
// document, which work without JavaScript. It keeps nothing: who is logged in is
// in an encrypted cookie, and what was changed and not published travels in a
// signed field of the forms. All that it knows it reads from the entries.
package console

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/operatorclient"
)

const (
	maxBody        = 2 << 20
	maxHeader      = 16 << 10
	maxConnections = 256
	readTimeout    = 30 * time.Second
	writeTimeout   = 60 * time.Second
	sessionTime    = 8 * time.Hour
)

// ErrListen is wrapped by errors of the listener.
var ErrListen = errors.New("console's listener failed")

// Options says what the console needs.
type Options struct {
	// Client asks the entries; its token is replaced by each operator's own.
	Client *operatorclient.Client
	// TokenSHA256 is the hex SHA-256 of the token that logs in.
	TokenSHA256 string
	// LogAvailable asks the log itself whether it answers; nil: not asked.
	LogAvailable func() bool
	Logger       logrus.FieldLogger
	// Now is time.Now where nil.
	Now func() time.Time
}

// Console is the server of the pages.
type Console struct {
	options   Options
	tokenHash []byte
	keys      *keys
	pages     pages
	server    *fasthttp.Server
}

// New makes a console and draws its keys.
func New(options Options) (*Console, error) {
	hash, err := hex.DecodeString(options.TokenSHA256)
	if err != nil || len(hash) != sha256.Size {
		return nil, fmt.Errorf("operator token: not a hex SHA-256")
	}
	keys, err := newKeys()
	if err != nil {
		return nil, err
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	c := &Console{options: options, tokenHash: hash, keys: keys, pages: loadPages()}
	c.server = &fasthttp.Server{
		Name:               "sycamoretrail",
		Handler:            secure(c.routes().Handler),
		Concurrency:        maxConnections,
		ReadTimeout:        readTimeout,
		WriteTimeout:       writeTimeout,
		ReadBufferSize:     maxHeader,
		MaxRequestBodySize: maxBody,
		CloseOnShutdown:    true,
		Logger:             options.Logger,
	}
	return c, nil
}

// Serve answers until Close.
func (c *Console) Serve(listener net.Listener) error {
	if err := c.server.Serve(listener); err != nil {
		return fmt.Errorf("%w: %w", ErrListen, err)
	}
	return nil
}

// Close ends the server after the calls under way.
func (c *Console) Close() error { return c.server.Shutdown() }

// Paths of the pages.
const (
	pathOverview  = "/"
	pathLogin     = "/login"
	pathLogout    = "/logout"
	pathEdit      = "/edit"
	pathPublish   = "/publish"
	pathOutcome   = "/outcome"
	pathPublished = "/published"
	pathStyle     = "/style.css"
	pathHealth    = "/healthz"
)

func (c *Console) routes() *router.Router {
	r := router.New()
	r.GET(pathStyle, style)
	r.GET(pathHealth, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET(pathLogin, c.loginPage)
	r.POST(pathLogin, c.login)
	r.POST(pathLogout, c.logout)
	r.GET(pathOverview, c.member(c.overview))
	r.GET(pathPublished, c.member(c.published))
	r.POST(pathEdit, c.member(c.edit))
	r.POST(pathPublish, c.member(c.publish))
	r.POST(pathOutcome, c.member(c.lookAgain))
	// A page that is reached by a form only, such as after a reload of its address.
	for _, path := range []string{pathEdit, pathPublish, pathOutcome, pathLogout} {
		r.GET(path, func(ctx *fasthttp.RequestCtx) { redirect(ctx, pathOverview) })
	}
	return r
}

// contentPolicy allows the one stylesheet and forms to this console. Without
// any script source, markup that slipped into a page could still not act.
const contentPolicy = "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'"

// secure sets the headers of every answer. Pages show tokens' hashes and
// settings, so no cache may keep them.
func secure(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		h := &ctx.Response.Header
		h.Set(fasthttp.HeaderContentSecurityPolicy, contentPolicy)
		h.Set(fasthttp.HeaderXFrameOptions, "DENY")
		h.Set(fasthttp.HeaderXContentTypeOptions, "nosniff")
		h.Set(fasthttp.HeaderCacheControl, "no-store")
		// Not no-referrer: the browser would then send "Origin: null" with forms.
		h.Set(fasthttp.HeaderReferrerPolicy, "same-origin")
		h.Set("Cross-Origin-Opener-Policy", "same-origin")
	}
}

func redirect(ctx *fasthttp.RequestCtx, path string) {
	ctx.Response.Header.Set(fasthttp.HeaderLocation, path)
	ctx.SetStatusCode(fasthttp.StatusSeeOther)
}
