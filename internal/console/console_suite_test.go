package console_test

import (
	"io"
	"net"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/console"
	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/operators/operatorstest"
)

func TestConsole(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "console")
}

// site is a console with fake entries.
type site struct {
	fake *operatorstest.Fake
	url  string
	// logs collects the console's log.
	logs *strings.Builder
}

func newSite(first *document.Document) *site {
	fake, err := operatorstest.Start(3, operatorstest.Bytes(first))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(fake.Close)
	s := &site{fake: fake, logs: &strings.Builder{}}
	logger := logrus.New()
	logger.SetOutput(s.logs)
	pages, err := console.New(console.Options{
		Client:      operatorclient.New(operatorclient.Options{Entries: fake.Addresses()}),
		TokenSHA256: operatorstest.TokenSHA256(),
		Logger:      logger,
	})
	Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = pages.Serve(listener) }()
	DeferCleanup(pages.Close)
	s.url = "http://" + listener.Addr().String()
	return s
}

// browser is an HTTP client that keeps cookies and the last page.
type browser struct {
	site *site
	http *http.Client
	// status, header and body are from the response with the last page.
	status int
	header http.Header
	body   string
}

func (s *site) browser() *browser {
	jar, err := cookiejar.New(nil)
	Expect(err).NotTo(HaveOccurred())
	return &browser{site: s, http: &http.Client{Jar: jar}}
}

// loggedIn returns a browser with an operator's session.
func (s *site) loggedIn() *browser {
	b := s.browser()
	b.get("/login")
	b.post("/login", "token", operatorstest.Token)
	Expect(b.body).To(ContainSubstring("Document in force"))
	return b
}

func (b *browser) get(path string) { b.setPage(b.http.Get(b.site.url + path)) }

// post sends a form with the hidden fields and controls of the last page, as a
// browser does, overridden by the given pairs of names and values.
func (b *browser) post(path string, pairs ...string) {
	form := b.fields()
	for i := 0; i < len(pairs); i += 2 {
		form.Set(pairs[i], pairs[i+1])
	}
	b.setPage(b.http.PostForm(b.site.url+path, form))
}

func (b *browser) setPage(resp *http.Response, err error) {
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	b.status, b.header, b.body = resp.StatusCode, resp.Header, string(data)
}

var (
	inputs    = regexp.MustCompile(`<input type="(?:hidden|text|search)"[^>]* name="([^"]+)" value="([^"]*)"`)
	hiddens   = regexp.MustCompile(`<input type="hidden" name="([^"]+)" value="([^"]*)"`)
	ticks     = regexp.MustCompile(`<input type="checkbox" id="([^"]+)" name="[^"]+" value="on" checked`)
	areas     = regexp.MustCompile(`(?s)<textarea id="([^"]+)"[^>]*>([^<]*)</textarea>`)
	selects   = regexp.MustCompile(`(?s)<select id="([^"]+)"[^>]*>(.*?)</select>`)
	selecteds = regexp.MustCompile(`<option value="([^"]*)" selected>`)
)

func (b *browser) fields() url.Values {
	form := make(url.Values)
	for _, found := range append(hiddens.FindAllStringSubmatch(b.body, -1), inputs.FindAllStringSubmatch(b.body, -1)...) {
		form.Set(found[1], unescape(found[2]))
	}
	for _, found := range ticks.FindAllStringSubmatch(b.body, -1) {
		form.Set(found[1], "on")
	}
	for _, found := range areas.FindAllStringSubmatch(b.body, -1) {
		form.Set(found[1], unescape(found[2]))
	}
	for _, found := range selects.FindAllStringSubmatch(b.body, -1) {
		if chosen := selecteds.FindStringSubmatch(found[2]); chosen != nil {
			form.Set(found[1], unescape(chosen[1]))
		}
	}
	return form
}

func unescape(text string) string {
	return strings.NewReplacer("&#34;", `"`, "&#39;", "'", "&lt;", "<", "&gt;", ">", "&#43;", "+", "&amp;", "&").Replace(text)
}

var (
	cells = regexp.MustCompile(`</?(?:td|th|tr|p|li|caption|legend|del|ins)[^>]*>`)
	tags  = regexp.MustCompile(`<[^>]*>`)
)

// text returns the visible text of the page, without markup.
func (b *browser) text() string {
	plain := tags.ReplaceAllString(cells.ReplaceAllString(b.body, " "), "")
	return unescape(strings.Join(strings.Fields(plain), " "))
}
