package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// Target is what placement needs of a target.
type Target struct {
	Name string
	Zone string
}

// Move says that a target's scheduler changed. SameName: the entry was replaced
// under its name, so the placement stands and only the process is another.
type Move struct {
	Target   string
	From, To ident.Incarnation
	SameName bool
}

// Plan holds the scheduler of every target and works out only what changed.
type Plan struct {
	targets []planned        // by name
	index   map[string]int   // position in targets
	members []message.Member // by name
	hashes  []uint64         // of members' names
	zones   map[string][]int // positions of members by zone
	byName  map[string]int   // position of a member
}

type planned struct {
	Target
	key   uint64
	best  string // member's name; empty: none
	inc   ident.Incarnation
	score uint64
}

// NewPlan returns a plan with no targets and no members.
func NewPlan() *Plan {
	return &Plan{index: map[string]int{}, zones: map[string][]int{}, byName: map[string]int{}}
}

// Scheduler returns the scheduler of a target; empty: target unknown, or no members.
func (p *Plan) Scheduler(target string) ident.Incarnation {
	i, found := p.index[target]
	if !found {
		return ""
	}
	return p.targets[i].inc
}

// Scheduled lists the targets that a member schedules, by name.
func (p *Plan) Scheduled(by ident.Incarnation) []string {
	var names []string
	for i := range p.targets {
		if by != "" && p.targets[i].inc == by {
			names = append(names, p.targets[i].Name)
		}
	}
	return names
}

// SetTargets replaces the targets and returns the moves, by target name. A
// target that is new moves from nobody, one that is gone moves to nobody.
func (p *Plan) SetTargets(targets []Target) []Move {
	sorted := append([]Target(nil), targets...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	next := make([]planned, 0, len(sorted))
	index := make(map[string]int, len(sorted))
	var moves []Move
	for _, target := range sorted {
		if _, twice := index[target.Name]; twice {
			continue
		}
		t := planned{Target: target, key: xxhash.Sum64String(target.Name)}
		var from ident.Incarnation
		i, known := p.index[target.Name]
		if known {
			from = p.targets[i].inc
		}
		if known && p.targets[i].Zone == target.Zone {
			t = p.targets[i]
		} else {
			p.place(&t)
		}
		if t.inc != from {
			moves = append(moves, Move{Target: t.Name, From: from, To: t.inc})
		}
		index[t.Name] = len(next)
		next = append(next, t)
	}
	for i := range p.targets {
		old := &p.targets[i]
		if _, kept := index[old.Name]; !kept && old.inc != "" {
			moves = append(moves, Move{Target: old.Name, From: old.inc})
		}
	}
	p.targets, p.index = next, index
	sort.SliceStable(moves, func(i, j int) bool { return moves[i].Target < moves[j].Target })
	return moves
}

// SetMembers replaces the members (one for each name) and returns the moves, by
// target name. Targets of a member that went are placed anew; a member that
// came is compared with the present scheduler only.
func (p *Plan) SetMembers(members []message.Member) []Move {
	before := *p
	p.setMembers(members)
	came := p.came(&before)
	var moves []Move
	for i := range p.targets {
		t := &p.targets[i]
		from, fromName := t.inc, t.best
		p.update(t, &before, came)
		if t.inc != from {
			moves = append(moves, Move{Target: t.Name, From: from, To: t.inc, SameName: t.best == fromName})
		}
	}
	return moves
}

func (p *Plan) setMembers(members []message.Member) {
	sorted := append([]message.Member(nil), members...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	p.members = make([]message.Member, 0, len(sorted))
	p.hashes = make([]uint64, 0, len(sorted))
	p.zones = make(map[string][]int)
	p.byName = make(map[string]int, len(sorted))
	for _, m := range sorted {
		if _, twice := p.byName[m.Name]; twice {
			continue
		}
		i := len(p.members)
		p.byName[m.Name] = i
		p.members = append(p.members, m)
		p.hashes = append(p.hashes, xxhash.Sum64String(m.Name))
		p.zones[m.Zone] = append(p.zones[m.Zone], i)
	}
}

// came lists the positions of members that are new, or in another zone than before.
func (p *Plan) came(before *Plan) []int {
	var positions []int
	for i, m := range p.members {
		j, known := before.byName[m.Name]
		if !known || before.members[j].Zone != m.Zone {
			positions = append(positions, i)
		}
	}
	return positions
}

func (p *Plan) update(t *planned, before *Plan, came []int) {
	if p.mustPlace(t, before) {
		p.place(t)
		return
	}
	t.inc = p.members[p.byName[t.best]].Incarnation
	local := len(p.zones[t.Zone]) > 0
	for _, i := range came {
		if local && p.members[i].Zone != t.Zone {
			continue
		}
		s := score(t.key, p.hashes[i])
		if beats(s, p.members[i].Name, t.score, t.best) {
			p.assign(t, i, s)
		}
	}
}

// mustPlace reports that the present scheduler went or changed its zone, or that
// the target's zone got its first member or lost its last.
func (p *Plan) mustPlace(t *planned, before *Plan) bool {
	if t.best == "" {
		return true
	}
	i, here := p.byName[t.best]
	if !here || before.members[before.byName[t.best]].Zone != p.members[i].Zone {
		return true
	}
	return (len(p.zones[t.Zone]) > 0) != (len(before.zones[t.Zone]) > 0)
}

// place compares all members that are eligible for the target.
func (p *Plan) place(t *planned) {
	t.best, t.inc, t.score = "", "", 0
	if local := p.zones[t.Zone]; len(local) > 0 {
		for _, i := range local {
			p.consider(t, i)
		}
		return
	}
	for i := range p.members {
		p.consider(t, i)
	}
}

func (p *Plan) consider(t *planned, i int) {
	s := score(t.key, p.hashes[i])
	if t.best == "" || beats(s, p.members[i].Name, t.score, t.best) {
		p.assign(t, i, s)
	}
}

func (p *Plan) assign(t *planned, i int, s uint64) {
	t.best, t.inc, t.score = p.members[i].Name, p.members[i].Incarnation, s
}
