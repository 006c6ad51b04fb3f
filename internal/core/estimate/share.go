package estimate

const (
	// shareQuantile is the share of answers that are no longer than Expect returns.
	shareQuantile = 0.8
	shareGain     = 0.05
	minShare      = 0.02
)

// AnswerShare learns an upper quantile of the share of allowed tokens that
// answers use. The zero value expects all of them.
type AnswerShare struct{ reduction float64 }

// Observe adds the length of a complete answer and the length that its request
// allowed.
func (a *AnswerShare) Observe(tokens, allowed int) {
	if allowed <= 0 || tokens <= 0 {
		return
	}
	share := 1 - a.reduction
	if float64(tokens)/float64(allowed) > share {
		share += shareGain * shareQuantile
	} else {
		share -= shareGain * (1 - shareQuantile)
	}
	a.reduction = 1 - min(max(share, minShare), 1)
}

// Expect returns the length, in tokens, that few answers exceed.
func (a *AnswerShare) Expect(allowed int) int {
	if allowed <= 0 {
		return 0
	}
	return max(int(float64(allowed)*(1-a.reduction)), 1)
}
