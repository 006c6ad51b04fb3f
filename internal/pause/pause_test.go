package pause

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a pause being missed, before and after the detector has noticed it, and against short
// delays counting as pauses.
func TestPauseIsNoticed(t *testing.T) {
	for name, test := range map[string]struct {
		stopped, suspended time.Duration
		paused             bool
	}{
		"scheduling delay": {stopped: 200 * time.Millisecond},
		"stopped":          {stopped: 2 * time.Second, paused: true},
		"suspended":        {suspended: 2 * time.Second, paused: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var d Detector
			before := time.Now()
			g.Expect(d.Since(before)).To(BeFalse(), "not running")
			d.start()
			d.lastRun = d.lastRun.Add(-test.stopped)
			d.lastBoot -= test.stopped + test.suspended
			g.Expect(d.Since(before)).To(Equal(test.paused), "not noticed yet")
			p, paused := d.check()
			g.Expect(paused).To(Equal(test.paused))
			if paused {
				g.Expect(p.Length).To(BeNumerically("~", test.stopped+test.suspended-interval, 50*time.Millisecond))
				g.Expect(p.Suspended).To(BeNumerically("~", test.suspended, 50*time.Millisecond))
			}
			g.Expect(d.Since(before)).To(Equal(test.paused), "noticed")
			g.Expect(d.Since(time.Now())).To(BeFalse(), "later")
		})
	}
}
