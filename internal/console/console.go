// Package console serves the operators' pages: plain HTML forms for the whole
// document, which work without JavaScript. It is stateless: sessions are held in
// an encrypted cookie, and unpublished changes in a signed field of the forms.
// All other data is read from the entries.
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

	"sycamoretrail/internal/ingress"
	"sycamoretrail/internal/operatorclient"
)

const (
	maxBody        = 2 << 20
	maxHeader      = 16 << 10
	maxConnections = 64
	readTimeout    = 30 * time.Second
	writeTimeout   = 60 * time.Second
	sessionTime    = 8 * time.Hour
)

// ErrListen is wrapped by errors of serving the listener.
var ErrListen = errors.New("console's listener failed")

// Options configures a Console.
type Options struct {
	// Client calls the entries, with the token of the logged-in operator in place
	// of its own.
	Client *operatorclient.Client
	// TokenSHA256 is the hex SHA-256 of the operator token.
	TokenSHA256 string
	// LogAvailable reports whether the log answers. If it is nil, the pages do not
	// show this.
	LogAvailable func() bool
	Logger       logrus.FieldLogger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Console serves the pages.
type Console struct {
	options   Options
	tokenHash []byte
	keys      *keys
	pages     pages
	server    *fasthttp.Server
}

// New returns a Console with newly generated keys.
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
		Handler:            ingress.Handler(secure(c.routes().Handler)),
		Concurrency:        2 * maxConnections, // the gate bounds them
		ReadTimeout:        readTimeout,
		WriteTimeout:       writeTimeout,
		ReadBufferSize:     maxHeader,
		MaxRequestBodySize: maxBody,
		CloseOnShutdown:    true,
		Logger:             options.Logger,
	}
	return c, nil
}

// Serve serves the listener until Close is called. Connections whose clients do not go on make room for new ones.
func (c *Console) Serve(listener net.Listener) error {
	bounded := ingress.Listener{Listener: listener, Gate: ingress.NewGate(maxConnections)}
	if err := c.server.Serve(bounded); err != nil {
		return fmt.Errorf("%w: %w", ErrListen, err)
	}
	return nil
}

// Close shuts the server down after the requests in progress.
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
	r.GET(pathOverview, c.requireSession(c.overview))
	r.GET(pathPublished, c.requireSession(c.published))
	r.POST(pathEdit, c.requireSession(c.edit))
	r.POST(pathPublish, c.requireSession(c.publish))
	r.POST(pathOutcome, c.requireSession(c.recheck))
	// Pages that only forms reach are redirected, for example after a reload.
	for _, path := range []string{pathEdit, pathPublish, pathOutcome, pathLogout} {
		r.GET(path, func(ctx *fasthttp.RequestCtx) { redirect(ctx, pathOverview) })
	}
	return r
}

// contentPolicy allows the stylesheet and forms to this console. It allows no
// script source, so that markup injected into a page could not run scripts.
const contentPolicy = "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'"

// secure sets the security headers of every response. Pages show token hashes
// and settings, so caches must not store them.
func secure(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		h := &ctx.Response.Header
		h.Set(fasthttp.HeaderContentSecurityPolicy, contentPolicy)
		h.Set(fasthttp.HeaderXFrameOptions, "DENY")
		h.Set(fasthttp.HeaderXContentTypeOptions, "nosniff")
		h.Set(fasthttp.HeaderCacheControl, "no-store")
		// With no-referrer, browsers would send "Origin: null" with forms.
		h.Set(fasthttp.HeaderReferrerPolicy, "same-origin")
		h.Set("Cross-Origin-Opener-Policy", "same-origin")
	}
}

func redirect(ctx *fasthttp.RequestCtx, path string) {
	ctx.Response.Header.Set(fasthttp.HeaderLocation, path)
	ctx.SetStatusCode(fasthttp.StatusSeeOther)
}
