package placement_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/placement"
)

const zones = 11

func members(n int) []message.Member {
	out := make([]message.Member, n)
	for i := range out {
		out[i] = member(i, i%zones, 1)
	}
	return out
}

func member(i, zone, run int) message.Member {
	name := fmt.Sprintf("entry-%d", i)
	return message.Member{Name: name, Zone: fmt.Sprint("zone-", zone), Incarnation: ident.Incarnation(fmt.Sprintf("%s-%d", name, run))}
}

func targets(n int) []placement.Target {
	out := make([]placement.Target, n)
	for i := range out {
		out[i] = placement.Target{Name: fmt.Sprintf("engine-%d", i), Zone: fmt.Sprint("zone-", i%zones)}
	}
	return out
}

var _ = Describe("Placement", func() {
	It("prefers members of the zone, spreads evenly, and falls back to other zones", func() {
		all := members(44)
		count := map[ident.Incarnation]int{}
		byName := map[ident.Incarnation]message.Member{}
		for _, m := range all {
			byName[m.Incarnation] = m
		}
		for _, t := range targets(4400) {
			inc := placement.Scheduler(t.Name, t.Zone, all)
			Expect(byName[inc].Zone).To(Equal(t.Zone))
			count[inc]++
		}
		Expect(count).To(HaveLen(44))
		for _, n := range count {
			Expect(n).To(BeNumerically("~", 100, 40))
		}
		Expect(placement.Scheduler("engine-1", "zone-none", all)).NotTo(BeEmpty())
		Expect(placement.Scheduler("engine-1", "zone-none", nil)).To(BeEmpty())
		Expect(placement.Coordinator(1, nil)).To(BeEmpty())
	})

	It("distributes coordinators over all members, independent of the order of the list", func() {
		all := members(6)
		reversed := make([]message.Member, 0, len(all))
		for i := range all {
			reversed = append(reversed, all[len(all)-1-i])
		}
		homes := map[ident.Incarnation]bool{}
		for partition := range 64 {
			homes[placement.Coordinator(partition, all)] = true
			Expect(placement.Coordinator(partition, reversed)).To(Equal(placement.Coordinator(partition, all)))
		}
		Expect(homes).To(HaveLen(6))
	})

	// An entry is replaced under its name without its state. Its targets must move to the
	// new process, and no other target may move.
	It("moves nothing else when an entry is replaced under its name", func() {
		all := members(22)
		p := placement.NewPlan()
		p.SetMembers(all)
		Expect(p.SetTargets(targets(440))).To(HaveLen(440))
		held := p.Scheduled(all[3].Incarnation)
		Expect(held).NotTo(BeEmpty())
		all[3] = member(3, 3, 2)
		moves := p.SetMembers(all)
		Expect(moves).To(HaveLen(len(held)))
		for _, move := range moves {
			Expect(move.To).To(Equal(all[3].Incarnation))
			Expect(move.SameName).To(BeTrue())
		}
		Expect(p.SetMembers(all)).To(BeEmpty())
	})
})

// Members join, leave, are replaced and change zones at random. The plan, which recomputes
// only what changes, must agree with a plan computed from scratch.
func TestPlanAgreesWithScheduler(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := placement.NewPlan()
		for range rapid.IntRange(1, 12).Draw(rt, "changes") {
			var list []message.Member
			for i := range 8 {
				if rapid.Bool().Draw(rt, "there") {
					list = append(list, member(i, rapid.IntRange(0, 2).Draw(rt, "zone"), rapid.IntRange(1, 2).Draw(rt, "run")))
				}
			}
			want := targets(rapid.IntRange(0, 30).Draw(rt, "targets"))
			p.SetTargets(want)
			before := map[string]ident.Incarnation{}
			for _, target := range want {
				before[target.Name] = p.Scheduler(target.Name)
			}
			for _, move := range p.SetMembers(list) {
				before[move.Target] = move.To
			}
			for _, target := range want {
				now := p.Scheduler(target.Name)
				if now != placement.Scheduler(target.Name, target.Zone, list) || now != before[target.Name] {
					rt.Fatalf("%s: plan has %q, from scratch %q, moves %q", target.Name, now,
						placement.Scheduler(target.Name, target.Zone, list), before[target.Name])
				}
			}
		}
	})
}

// BenchmarkPlanOneLeavesAndJoins: a member leaves and joins again, two changes per
// operation.
func BenchmarkPlanOneLeavesAndJoins(b *testing.B) {
	for _, size := range []struct{ members, targets int }{{6, 15}, {48, 200}, {410, 1800}} {
		b.Run(fmt.Sprintf("members=%d/targets=%d", size.members, size.targets), func(b *testing.B) {
			all := members(size.members)
			p := placement.NewPlan()
			p.SetMembers(all)
			p.SetTargets(targets(size.targets))
			for b.Loop() {
				p.SetMembers(all[1:])
				p.SetMembers(all)
			}
		})
	}
}

// BenchmarkPlanFromScratch computes the whole plan. The members are not in the targets'
// zone, so every pair is compared.
func BenchmarkPlanFromScratch(b *testing.B) {
	all, list := members(410), targets(1800)
	for i := range list {
		list[i].Zone = "elsewhere"
	}
	for b.Loop() {
		p := placement.NewPlan()
		p.SetMembers(all)
		p.SetTargets(list)
	}
}
