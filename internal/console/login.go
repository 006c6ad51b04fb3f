package console

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"net/url"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/operatorclient"
)

const (
	cookieSession = "session"
	// cookieLogin binds the login form to the browser that requested it.
	cookieLogin = "login"
	fieldCSRF   = "csrf"
	fieldToken  = "token"
)

// visit is one request of a logged-in operator.
type visit struct {
	ctx    *fasthttp.RequestCtx
	client *operatorclient.Client
	csrf   string
}

// get returns a field of the posted form.
func (v *visit) get(name string) string { return string(v.ctx.PostArgs().Peek(name)) }

// requireSession calls next for requests of logged-in operators. Forms must have
// the CSRF token of the session.
func (c *Console) requireSession(next func(*visit)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		cookie := string(ctx.Request.Header.Cookie(cookieSession))
		session, ok := c.keys.open(cookie, c.options.Now())
		if !ok {
			c.endSession(ctx, "")
			return
		}
		if ctx.IsPost() && !c.ownForm(ctx, cookie) {
			c.refuseForm(ctx)
			return
		}
		next(&visit{ctx: ctx, client: c.options.Client.WithToken(session.Token), csrf: c.keys.csrf(cookie)})
	}
}

// ownForm reports whether the form is from a page that this console sent to this
// browser. The cookie alone does not prove that: browsers without SameSite support
// also send it with forms of other sites.
func (c *Console) ownForm(ctx *fasthttp.RequestCtx, cookie string) bool {
	if origin := ctx.Request.Header.Peek(fasthttp.HeaderOrigin); len(origin) > 0 {
		parsed, err := url.Parse(string(origin))
		if err != nil || parsed.Host != string(ctx.Host()) {
			return false
		}
	}
	given := ctx.PostArgs().Peek(fieldCSRF)
	return subtle.ConstantTimeCompare(given, []byte(c.keys.csrf(cookie))) == 1
}

func (c *Console) refuseForm(ctx *fasthttp.RequestCtx) {
	c.options.Logger.Warn("form without the token of its session was refused")
	c.show(ctx, fasthttp.StatusForbidden, pageProblem, page{
		Title:   "Form refused",
		Problem: "This form does not belong to your session. Go back to the overview and begin again.",
	})
}

// loginData is the content of the login page.
type loginData struct{ Action string }

func (c *Console) loginPage(ctx *fasthttp.RequestCtx) {
	c.showLogin(ctx, fasthttp.StatusOK, "")
}

func (c *Console) showLogin(ctx *fasthttp.RequestCtx, status int, problem string) {
	nonce := rand.Text()
	setCookie(ctx, cookieLogin, nonce, 0)
	c.show(ctx, status, pageLogin, page{Title: "Log in", Problem: problem, CSRF: c.keys.csrf(nonce), Body: loginData{Action: pathLogin}})
}

func (c *Console) login(ctx *fasthttp.RequestCtx) {
	if !c.ownForm(ctx, string(ctx.Request.Header.Cookie(cookieLogin))) {
		c.showLogin(ctx, fasthttp.StatusForbidden, "The form was too old. Log in again.")
		return
	}
	token := string(ctx.PostArgs().Peek(fieldToken))
	hash := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(hash[:], c.tokenHash) != 1 {
		c.options.Logger.WithField("from", ctx.RemoteIP().String()).Warn("login with a wrong token")
		c.showLogin(ctx, fasthttp.StatusForbidden, "That is not the operator token. Its SHA-256 must be the console's operator_token_sha256.")
		return
	}
	cookie, err := c.keys.seal(session{Token: token, Expires: c.options.Now().Add(sessionTime).Unix()})
	if err != nil {
		c.showLogin(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	setCookie(ctx, cookieLogin, "", -1)
	setCookie(ctx, cookieSession, cookie, int(sessionTime.Seconds()))
	c.options.Logger.WithField("from", ctx.RemoteIP().String()).Info("operator logged in")
	redirect(ctx, pathOverview)
}

func (c *Console) logout(ctx *fasthttp.RequestCtx) {
	if !c.ownForm(ctx, string(ctx.Request.Header.Cookie(cookieSession))) {
		c.refuseForm(ctx)
		return
	}
	setCookie(ctx, cookieSession, "", -1)
	redirect(ctx, pathLogin)
}

// endSession removes the session cookie and shows the login page.
func (c *Console) endSession(ctx *fasthttp.RequestCtx, problem string) {
	setCookie(ctx, cookieSession, "", -1)
	if problem == "" {
		redirect(ctx, pathLogin)
		return
	}
	c.showLogin(ctx, fasthttp.StatusForbidden, problem)
}

// setCookie sets a cookie that is hidden from scripts and not sent with requests
// from other sites. maxAge is in seconds; 0 keeps the cookie until the browser
// closes, and a negative value removes it.
func setCookie(ctx *fasthttp.RequestCtx, name, value string, maxAge int) {
	cookie := fasthttp.AcquireCookie()
	defer fasthttp.ReleaseCookie(cookie)
	cookie.SetKey(name)
	cookie.SetValue(value)
	cookie.SetPath("/")
	cookie.SetHTTPOnly(true)
	cookie.SetSameSite(fasthttp.CookieSameSiteStrictMode)
	if maxAge < 0 {
		cookie.SetExpire(fasthttp.CookieExpireDelete)
	} else if maxAge > 0 {
		cookie.SetMaxAge(maxAge)
	}
	ctx.Response.Header.SetCookie(cookie)
}
