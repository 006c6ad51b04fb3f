package entry

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against requests of different bodies, whose prompts begin alike and crash engines, taking down one engine
// after the other.
func TestPromptPrefixThatCrashesEnginesIsRefused(t *testing.T) {
	RegisterTestingT(t)
	const calls, maxRuns = 10, 5
	var steps []step
	for i := range calls {
		steps = append(steps, step{1500 * i, crashingCall, i, i, 0, sharedPrefix})
	}
	w := runScript(steps...)
	Expect(w.runs()).To(BeNumerically("<=", maxRuns))
}
