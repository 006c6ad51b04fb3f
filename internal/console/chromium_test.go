package console_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/chromedp/cdproto/cdp"
	"github.com/chromedp/cdproto/emulation"
	"github.com/chromedp/chromedp"
	"github.com/chromedp/chromedp/kb"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operators/operatorstest"
)

// chromiumLimit ends a spec that waits for an element that never appears.
const chromiumLimit = 2 * time.Minute

// chromium starts a headless browser with a temporary profile. If none is
// installed, the spec is skipped, except in CI, which installs it.
func chromium() context.Context {
	path, err := exec.LookPath("chromium")
	if err != nil && os.Getenv("CI") == "" {
		Skip("no chromium on this machine")
	}
	Expect(err).NotTo(HaveOccurred(), "CI installs the package chromium")
	options := []chromedp.ExecAllocatorOption{
		chromedp.ExecPath(path), chromedp.Headless, chromedp.NoSandbox, chromedp.DisableGPU, chromedp.NoFirstRun,
		chromedp.Flag("disable-quic", true), chromedp.Flag("disable-background-networking", true),
		chromedp.Flag("disable-component-update", true), chromedp.Flag("disable-sync", true),
		chromedp.Flag("hide-scrollbars", true), chromedp.WindowSize(1100, 900),
		chromedp.UserDataDir(GinkgoT().TempDir()),
	}
	limited, cancelLimit := context.WithTimeout(context.Background(), chromiumLimit)
	DeferCleanup(cancelLimit)
	allocator, cancelAllocator := chromedp.NewExecAllocator(limited, options...)
	DeferCleanup(cancelAllocator)
	browser, cancelBrowser := chromedp.NewContext(allocator)
	DeferCleanup(cancelBrowser)
	return browser
}

// operator controls the browser as an operator does.
type operator struct {
	ctx context.Context
	url string
}

func (o operator) run(actions ...chromedp.Action[chromedp.Void]) {
	GinkgoHelper()
	Expect(chromedp.Do(o.ctx, actions...)).To(Succeed())
}

// text waits for an element and returns its text.
func (o operator) text(selector string) string {
	GinkgoHelper()
	text, err := chromedp.Run(o.ctx, chromedp.Text(chromedp.CSS(selector)))
	Expect(err).NotTo(HaveOccurred())
	return text
}

// waitForPage waits until the page with the heading is shown.
func (o operator) waitForPage(heading string) {
	GinkgoHelper()
	o.run(chromedp.WaitVisible(chromedp.Search(`//h1[normalize-space()="` + heading + `"]`)))
}

// fill replaces the text of a field by typing.
func (o operator) fill(id, text string) {
	GinkgoHelper()
	field := chromedp.CSS(`[id="` + id + `"]`)
	o.run(chromedp.Clear(field), chromedp.SendKeys(field, text))
}

func (o operator) click(selector string) {
	GinkgoHelper()
	o.run(chromedp.Click(chromedp.CSS(selector)))
}

// screenshot saves a screenshot if SCREENSHOT_DIR is set.
func (o operator) screenshot(name string) {
	dir := os.Getenv("SCREENSHOT_DIR")
	if dir == "" {
		return
	}
	picture, err := chromedp.Run(o.ctx, chromedp.FullScreenshot(100))
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(filepath.Join(dir, name+".png"), picture, 0o644)).To(Succeed())
}

// editInFlight changes limits.in_flight and goes on to the review.
func (o operator) editInFlight(inFlight string) {
	o.run(chromedp.Navigate(o.url))
	o.waitForPage("Overview")
	o.click(`button[value="targets"]`)
	o.waitForPage("Targets")
	o.click(`button[value="limits"]`)
	o.waitForPage("Limits")
	o.fill("v.in_flight", inFlight)
	o.click("#to-review")
	o.waitForPage("Review and publish")
}

var _ = Describe("console in Chromium", func() {
	var s *site
	var o operator

	BeforeEach(func() {
		s = newSite(operatorstest.Document(5))
		o = operator{ctx: chromium(), url: s.url}
		// The pages must work without scripts, so the browser runs none.
		_, err := chromedp.Run(o.ctx, func(ctx context.Context, _ *chromedp.Target) (cdp.Empty, error) {
			return chromedp.Call(ctx, emulation.SetScriptExecutionDisabled, emulation.SetScriptExecutionDisabledParams{Value: true})
		})
		Expect(err).NotTo(HaveOccurred())
		o.run(chromedp.Navigate(s.url))
		o.waitForPage("Log in")
		o.run(chromedp.SendKeys(chromedp.CSS("#token"), operatorstest.Token+kb.Enter))
		o.waitForPage("Overview")
		o.screenshot("overview")
	})

	It("fixes a fault, publishes and shows the change in force", func() {
		o.click(`button[value="organisations"]`)
		o.waitForPage("Organisations")
		o.screenshot("organisations")
		o.click(`button[value="limits"]`)
		o.waitForPage("Limits")
		// Enter in a field keeps and checks the page; no mouse is needed.
		o.fill("v.in_flight", "0"+kb.Enter)
		Expect(o.text(`[id="v.in_flight-fault"]`)).To(Equal("0 is out of bounds; write a number from 1 to 10000000"))
		o.screenshot("fault")
		o.fill("v.in_flight", "5000")
		o.click("#to-review")
		o.waitForPage("Review and publish")
		Expect(o.text("tbody")).To(ContainSubstring("limits.in_flight"))
		o.run(chromedp.SendKeys(chromedp.CSS("#comment"), "more room for the evening"))
		o.screenshot("review")
		o.click("#publish")
		Expect(o.text("#accepted")).To(Equal("Accepted as version 2. In force on 3 of 3 entries."))
		o.screenshot("accepted")
		Expect(s.inForce().Limits.InFlight).To(Equal(5000))
		Expect(s.inForce().Comment).To(Equal("more room for the evening"))
	})

	// Another operator's document comes into force between the review and the
	// publication. The page must show that it came first, with both values. The
	// operator publishes the change again, rebased onto the other document, whose
	// other changes must remain.
	It("rebases a change that was superseded", func() {
		o.editInFlight("5000")
		s.fake.BeforeNextPublish(func() {
			s.fake.Publish(s.fake.Edited("theirs", func(d *document.Document) {
				d.Limits.InFlight, d.Limits.Connections = 6000, 77
			}))
		})
		o.click("#publish")
		Expect(o.text("#beaten")).To(ContainSubstring("theirs came first"))
		Expect(o.text("section:nth-of-type(2) tbody")).To(MatchRegexp(`limits.in_flight\s+6000\s+5000`))
		o.screenshot("beaten")
		o.click("#rebase")
		o.waitForPage("Review and publish")
		o.click("#publish")
		Expect(o.text("#accepted")).To(ContainSubstring("Accepted as version 3"))
		Expect(s.inForce().Limits).To(And(HaveField("InFlight", 5000), HaveField("Connections", 77)))
	})

	// The log is unavailable while the operator publishes. The page must report
	// neither acceptance nor a superseded document. After the outage the record is
	// appended, and checking again must show the acceptance.
	It("reports unknown during a log outage, and the result after it", func() {
		o.editInFlight("5000")
		s.fake.SetLogOut(true)
		o.click("#publish")
		Expect(o.text("#unknown")).To(ContainSubstring("not known yet"))
		o.screenshot("unknown")
		o.click("#again")
		o.run(chromedp.WaitVisible(chromedp.Search(`//p[contains(., "is still in force, and your document is not")]`)))
		s.fake.SetLogOut(false)
		o.click("#again")
		Expect(o.text("#accepted")).To(ContainSubstring("Accepted as version 2"))
	})
})
