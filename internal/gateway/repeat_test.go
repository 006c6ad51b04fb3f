package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a denied repeat whose log does not tell what used up the budget.
func TestRepeatLinesNameTheirInputs(t *testing.T) {
	g := NewWithT(t)
	gateway, log := newLoggingGateway()
	gateway.state.setFirstStart()
	gateway.state.budget.SetEntries(time.Now(), 3)
	for range 20 {
		gateway.state.countRequest("desk")
	}
	for gateway.state.mayRepeat("id-1", "desk") {
		continue
	}
	gateway.log.Close(time.Minute)
	g.Expect(log.String()).To(MatchRegexp(`"allowed":true,"capacity":[0-9.]+,"entries":3.*"tokens":[1-9]`))
	g.Expect(log.String()).To(MatchRegexp(`"allowed":false,"capacity":[0-9.]+,"entries":3.*"id":"id-1".*"requests":20,"service":"desk".*"tokens":0`))
}
