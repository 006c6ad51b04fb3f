package bounded_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/bounded"
)

func TestOldestIsEvictedFirst(t *testing.T) {
	g := NewWithT(t)
	m := bounded.New[int](3)
	for i := range 5 {
		m.Put(fmt.Sprint(i), i+10)
		m.Put("0", 7)
	}
	g.Expect(m.Has("1")).To(BeFalse())
	g.Expect(m.Get("1")).To(BeZero())
	g.Expect(m.Get("4")).To(Equal(14))
	g.Expect(m.Has("0") || m.Has("3")).To(BeTrue())
}
