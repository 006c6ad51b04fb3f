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

// chromiumLimit ends a run whose element never comes; it is no measure.
const chromiumLimit = 2 * time.Minute

// chromium starts a headless browser with a profile of its own. Without one
// installed the spec is skipped, but not in CI, which installs it.
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

// operator is a person before the browser.
type operator struct {
	ctx context.Context
	url string
}

func (o operator) does(actions ...chromedp.Action[chromedp.Void]) {
	GinkgoHelper()
	Expect(chromedp.Do(o.ctx, actions...)).To(Succeed())
}

// sees waits for an element and returns its text.
func (o operator) sees(selector string) string {
	GinkgoHelper()
	text, err := chromedp.Run(o.ctx, chromedp.Text(chromedp.CSS(selector)))
	Expect(err).NotTo(HaveOccurred())
	return text
}

// on waits until the page with the heading is shown.
func (o operator) on(heading string) {
	GinkgoHelper()
	o.does(chromedp.WaitVisible(chromedp.Search(`//h1[normalize-space()="` + heading + `"]`)))
}

// writes replaces the text of a field by typing.
func (o operator) writes(id, text string) {
	GinkgoHelper()
	field := chromedp.CSS(`[id="` + id + `"]`)
	o.does(chromedp.Clear(field), chromedp.SendKeys(field, text))
}

func (o operator) presses(selector string) {
	GinkgoHelper()
	o.does(chromedp.Click(chromedp.CSS(selector)))
}

// photographs keeps a picture where SCREENSHOT_DIR says so.
func (o operator) photographs(name string) {
	dir := os.Getenv("SCREENSHOT_DIR")
	if dir == "" {
		return
	}
	picture, err := chromedp.Run(o.ctx, chromedp.FullScreenshot(100))
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(filepath.Join(dir, name+".png"), picture, 0o644)).To(Succeed())
}

// proposes brings a change of limits.in_flight to its review.
func (o operator) proposes(inFlight string) {
	o.does(chromedp.Navigate(o.url))
	o.on("Overview")
	o.presses(`button[value="targets"]`)
	o.on("Targets")
	o.presses(`button[value="limits"]`)
	o.on("Limits")
	o.writes("v.in_flight", inFlight)
	o.presses("#to-review")
	o.on("Review and publish")
}

var _ = Describe("console in Chromium", func() {
	var s *site
	var o operator

	BeforeEach(func() {
		s = newSite(operatorstest.Document(5))
		o = operator{ctx: chromium(), url: s.url}
		// The pages must do without scripts; the browser runs none of theirs.
		_, err := chromedp.Run(o.ctx, func(ctx context.Context, _ *chromedp.Target) (cdp.Empty, error) {
			return chromedp.Call(ctx, emulation.SetScriptExecutionDisabled, emulation.SetScriptExecutionDisabledParams{Value: true})
		})
		Expect(err).NotTo(HaveOccurred())
		o.does(chromedp.Navigate(s.url))
		o.on("Log in")
		o.does(chromedp.SendKeys(chromedp.CSS("#token"), operatorstest.Token+kb.Enter))
		o.on("Overview")
		o.photographs("overview")
	})

	It("mends a fault, publishes and sees the change in force", func() {
		o.presses(`button[value="organisations"]`)
		o.on("Organisations")
		o.photographs("organisations")
		o.presses(`button[value="limits"]`)
		o.on("Limits")
		// Enter in a field keeps and checks the page; no mouse is needed.
		o.writes("v.in_flight", "0"+kb.Enter)
		Expect(o.sees(`[id="v.in_flight-fault"]`)).To(Equal("0 is out of bounds; write a number from 1 to 10000000"))
		o.photographs("fault")
		o.writes("v.in_flight", "5000")
		o.presses("#to-review")
		o.on("Review and publish")
		Expect(o.sees("tbody")).To(ContainSubstring("limits.in_flight"))
		o.does(chromedp.SendKeys(chromedp.CSS("#comment"), "more room for the evening"))
		o.photographs("review")
		o.presses("#publish")
		Expect(o.sees("#accepted")).To(Equal("Accepted as version 2. In force on 3 of 3 entries."))
		o.photographs("accepted")
		Expect(s.inForce().Limits.InFlight).To(Equal(5000))
		Expect(s.inForce().Comment).To(Equal("more room for the evening"))
	})

	// Another operator's document lands between the operator's last look and the
	// publication. The operator sees that it came first, with both values, and
	// publishes the change again on top of theirs, which keeps the rest of theirs.
	It("loses a race and goes on from the winner", func() {
		o.proposes("5000")
		s.fake.BeforeNextPublish(func() {
			s.fake.Publish(s.fake.Edited("theirs", func(d *document.Document) {
				d.Limits.InFlight, d.Limits.Connections = 6000, 77
			}))
		})
		o.presses("#publish")
		Expect(o.sees("#beaten")).To(ContainSubstring("theirs came first"))
		Expect(o.sees("section:nth-of-type(2) tbody")).To(MatchRegexp(`limits.in_flight\s+6000\s+5000`))
		o.photographs("beaten")
		o.presses("#rebase")
		o.on("Review and publish")
		o.presses("#publish")
		Expect(o.sees("#accepted")).To(ContainSubstring("Accepted as version 3"))
		Expect(s.inForce().Limits).To(And(HaveField("InFlight", 5000), HaveField("Connections", 77)))
	})

	// The log is out while the operator publishes. The page must not say accepted
	// nor beaten. When the log is back the record lands, and looking again shows it.
	It("does not know while the log is out, and finds out after", func() {
		o.proposes("5000")
		s.fake.SetLogOut(true)
		o.presses("#publish")
		Expect(o.sees("#unknown")).To(ContainSubstring("not known yet"))
		o.photographs("unknown")
		o.presses("#again")
		o.does(chromedp.WaitVisible(chromedp.Search(`//p[contains(., "is still in force, and your document is not")]`)))
		s.fake.SetLogOut(false)
		o.presses("#again")
		Expect(o.sees("#accepted")).To(ContainSubstring("Accepted as version 2"))
	})
})
