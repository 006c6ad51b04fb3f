package estimate

const (
	// shareQuantile of the answers are no longer than Expect says.
	shareQuantile = 0.8
	shareGain     = 0.05
	shareLeast    = 0.02
)

// AnswerShare learns what part of the tokens that requests allow their answers
// take, as an upper quantile. The zero value expects the whole.
type AnswerShare struct{ below float64 }

// Observe takes the length of a complete answer and what its request allowed.
func (a *AnswerShare) Observe(tokens, allowed int) {
	if allowed <= 0 || tokens <= 0 {
		return
	}
	share := 1 - a.below
	if float64(tokens)/float64(allowed) > share {
		share += shareGain * shareQuantile
	} else {
		share -= shareGain * (1 - shareQuantile)
	}
	a.below = 1 - min(max(share, shareLeast), 1)
}

// Expect is the length, in tokens, that few answers exceed.
func (a *AnswerShare) Expect(allowed int) int {
	if allowed <= 0 {
		return 0
	}
	return max(int(float64(allowed)*(1-a.below)), 1)
}
