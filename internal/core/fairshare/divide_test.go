package fairshare

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/poolview"
)

// Guards against the most urgent rank being marked as excess although the pace covers all of its
// demand, because its share is rounded to a little less than the demand.
func TestCoveredRankKeepsAllOfItsDemand(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	rounded := 0
	for range 100_000 {
		demand := [poolview.Ranks]float64{random.Float64(), random.Float64(), random.Float64()}
		pace := demand[0] + random.Float64()*(demand[1]+demand[2])
		shares := divide(pace, demand)
		// A quarter of the even shares of the other ranks comes first.
		if others := evenPart * pace / total(demand) * (demand[1] + demand[2]); demand[0] < 0.999*(pace-others) && shares[0] != demand[0] {
			rounded++
		}
		g.Expect(total(shares)).To(BeNumerically("~", pace, 1e-9))
	}
	g.Expect(rounded).To(BeZero())
}
