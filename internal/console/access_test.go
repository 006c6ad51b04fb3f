package console_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/operators/operatorstest"
)

var _ = Describe("access", func() {
	It("shows only the login page without a session", func() {
		s := newSite(operatorstest.Document(2))
		for _, path := range []string{"/", "/published", "/edit"} {
			b := s.browser()
			b.get(path)
			Expect(b.body).To(ContainSubstring("Operator token"), path)
			Expect(b.body).NotTo(ContainSubstring("org-00000"), path)
		}
		b := s.browser()
		b.get("/login")
		b.post("/publish", "page", "review")
		Expect(b.body).To(ContainSubstring("Operator token"))
		version, _, _ := s.fake.Document()
		Expect(version).To(Equal(int64(1)))
	})

	It("refuses a wrong token and does not log it", func() {
		s := newSite(operatorstest.Document(1))
		b := s.browser()
		b.get("/login")
		b.post("/login", "token", "guess-of-a-stranger")
		Expect(b.status).To(Equal(http.StatusForbidden))
		Expect(b.body).To(ContainSubstring("not the operator token"))
		Expect(s.logs.String()).To(ContainSubstring("wrong token"))
		Expect(s.logs.String()).NotTo(ContainSubstring("guess-of-a-stranger"))
	})

	// Another site makes the operator's browser post a form to the console. Browsers
	// without SameSite support send the cookie, but the form lacks the CSRF token, so
	// nothing may be changed or published.
	It("refuses a form without the session's token", func() {
		s := newSite(operatorstest.Document(1))
		b := s.loggedIn()
		b.post("/edit", "go", "limits")
		for _, forged := range []string{"", "made-up"} {
			b.post("/publish", "csrf", forged, "page", "review")
			Expect(b.status).To(Equal(http.StatusForbidden))
			b.get("/")
			b.post("/edit", "go", "limits")
		}
	})

	It("refuses a form from another site's page", func() {
		s := newSite(operatorstest.Document(1))
		b := s.loggedIn()
		for origin, status := range map[string]int{"http://evil.example": 403, "null": 403, s.url: 200} {
			b.get("/")
			req, err := http.NewRequest(http.MethodPost, s.url+"/edit", strings.NewReader(b.fields().Encode()))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
			req.Header.Set("Origin", origin)
			b.setPage(b.http.Do(req))
			Expect(b.status).To(Equal(status), origin)
		}
	})

	It("refuses a draft with an invalid signature", func() {
		s := newSite(operatorstest.Document(1))
		b := s.loggedIn()
		b.post("/edit", "go", "limits")
		genuine := b.fields().Get("draft")
		b.post("/edit", "draft", "eyJpZCI6IngifQ."+strings.SplitN(genuine, ".", 2)[1])
		Expect(b.status).To(Equal(http.StatusBadRequest))
		Expect(b.text()).To(ContainSubstring("not one that this console gave out"))
	})

	It("encrypts the token in the cookie, and ends the session on logout", func() {
		s := newSite(operatorstest.Document(1))
		b := s.browser()
		b.get("/login")
		b.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
		b.post("/login", "token", operatorstest.Token)
		cookies := strings.Join(b.header.Values("Set-Cookie"), "\n")
		Expect(cookies).To(MatchRegexp(`session=[^;]+; .*HttpOnly; SameSite=Strict`))
		Expect(cookies).NotTo(ContainSubstring(operatorstest.Token))
		b.http.CheckRedirect = nil
		b.get("/")
		b.post("/logout")
		b.get("/")
		Expect(b.body).To(ContainSubstring("Operator token"))
	})

	It("sends headers against framing, caching and scripts", func() {
		b := newSite(operatorstest.Document(1)).loggedIn()
		for _, path := range []string{"/", "/login", "/style.css", "/nowhere"} {
			b.get(path)
			Expect(b.header.Get("Content-Security-Policy")).To(HavePrefix("default-src 'none'; style-src 'self';"), path)
			Expect(b.header.Get("Content-Security-Policy")).NotTo(ContainSubstring("script-src"))
			Expect(b.header.Get("X-Frame-Options")).To(Equal("DENY"))
			Expect(b.header.Get("Cache-Control")).To(Equal("no-store"))
			Expect(b.header.Get("X-Content-Type-Options")).To(Equal("nosniff"))
		}
	})

	// Markup can reach a page in a form field or in the comment of another operator's
	// document. It must be escaped.
	It("escapes markup in names and comments", func() {
		hostile := `"><script>alert(1)</script>`
		first := operatorstest.Document(1)
		first.Comment = hostile
		b := newSite(first).loggedIn()
		Expect(b.body).NotTo(ContainSubstring("<script"))
		Expect(b.body).To(ContainSubstring("&lt;script&gt;"))
		b.post("/edit", "go", "pools")
		b.post("/edit", "new.name", hostile, "go", "pools")
		Expect(b.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(b.body).NotTo(ContainSubstring("<script"))
		Expect(b.text()).To(ContainSubstring("has a character that is not allowed"))
	})
})
