package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// Target has the properties of a target that determine its placement.
type Target struct {
	Name string
	Zone string
}

// Move is a change of a target's scheduler. SameName: the entry was replaced under its name,
// so the placement is unchanged and only the process differs.
type Move struct {
	Target   string
	From, To ident.Incarnation
	SameName bool
}

// Plan holds the scheduler of every target and recomputes only what changes.
type Plan struct {
	targets     []scheduled      // by name
	targetIndex map[string]int   // position in targets
	members     []message.Member // by name
	hashes      []uint64         // of members' names
	byZone      map[string][]int // positions of members by zone
	positions   map[string]int   // position of a member
}

type scheduled struct {
	Target
	key         uint64
	scheduler   string // member's name; empty: none
	incarnation ident.Incarnation
	score       uint64
}

// NewPlan returns a plan with no targets and no members.
func NewPlan() *Plan {
	return &Plan{targetIndex: map[string]int{}, byZone: map[string][]int{}, positions: map[string]int{}}
}

// Scheduler returns the scheduler of a target; empty: the target is unknown, or there are no
// members.
func (p *Plan) Scheduler(target string) ident.Incarnation {
	i, found := p.targetIndex[target]
	if !found {
		return ""
	}
	return p.targets[i].incarnation
}

// Scheduled returns the names of the targets that a member schedules, in order.
func (p *Plan) Scheduled(by ident.Incarnation) []string {
	var names []string
	for i := range p.targets {
		if by != "" && p.targets[i].incarnation == by {
			names = append(names, p.targets[i].Name)
		}
	}
	return names
}

// SetTargets replaces the targets and returns the moves, by target name. From is empty for a
// new target, To for one that was removed.
func (p *Plan) SetTargets(targets []Target) []Move {
	sorted := append([]Target(nil), targets...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	next := make([]scheduled, 0, len(sorted))
	index := make(map[string]int, len(sorted))
	var moves []Move
	for _, target := range sorted {
		if _, twice := index[target.Name]; twice {
			continue
		}
		t := scheduled{Target: target, key: xxhash.Sum64String(target.Name)}
		var from ident.Incarnation
		i, known := p.targetIndex[target.Name]
		if known {
			from = p.targets[i].incarnation
		}
		if known && p.targets[i].Zone == target.Zone {
			t = p.targets[i]
		} else {
			p.place(&t)
		}
		if t.incarnation != from {
			moves = append(moves, Move{Target: t.Name, From: from, To: t.incarnation})
		}
		index[t.Name] = len(next)
		next = append(next, t)
	}
	for i := range p.targets {
		old := &p.targets[i]
		if _, kept := index[old.Name]; !kept && old.incarnation != "" {
			moves = append(moves, Move{Target: old.Name, From: old.incarnation})
		}
	}
	p.targets, p.targetIndex = next, index
	sort.SliceStable(moves, func(i, j int) bool { return moves[i].Target < moves[j].Target })
	return moves
}

// SetMembers replaces the members (one for each name) and returns the moves, by target name.
// Targets of a member that left are placed again; a member that joined is compared only with
// the current scheduler.
func (p *Plan) SetMembers(members []message.Member) []Move {
	before := *p
	p.setMembers(members)
	joined := p.joined(&before)
	var moves []Move
	for i := range p.targets {
		t := &p.targets[i]
		from, fromName := t.incarnation, t.scheduler
		p.update(t, &before, joined)
		if t.incarnation != from {
			moves = append(moves, Move{Target: t.Name, From: from, To: t.incarnation, SameName: t.scheduler == fromName})
		}
	}
	return moves
}

func (p *Plan) setMembers(members []message.Member) {
	sorted := append([]message.Member(nil), members...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	p.members = make([]message.Member, 0, len(sorted))
	p.hashes = make([]uint64, 0, len(sorted))
	p.byZone = make(map[string][]int)
	p.positions = make(map[string]int, len(sorted))
	for _, m := range sorted {
		if _, twice := p.positions[m.Name]; twice {
			continue
		}
		i := len(p.members)
		p.positions[m.Name] = i
		p.members = append(p.members, m)
		p.hashes = append(p.hashes, xxhash.Sum64String(m.Name))
		p.byZone[m.Zone] = append(p.byZone[m.Zone], i)
	}
}

// joined returns the positions of members that are new, or in another zone than before.
func (p *Plan) joined(before *Plan) []int {
	var positions []int
	for i, m := range p.members {
		j, known := before.positions[m.Name]
		if !known || before.members[j].Zone != m.Zone {
			positions = append(positions, i)
		}
	}
	return positions
}

func (p *Plan) update(t *scheduled, before *Plan, joined []int) {
	if p.needsPlacement(t, before) {
		p.place(t)
		return
	}
	t.incarnation = p.members[p.positions[t.scheduler]].Incarnation
	local := len(p.byZone[t.Zone]) > 0
	for _, i := range joined {
		if local && p.members[i].Zone != t.Zone {
			continue
		}
		s := score(t.key, p.hashes[i])
		if ranksHigher(s, p.members[i].Name, t.score, t.scheduler) {
			p.assign(t, i, s)
		}
	}
}

// needsPlacement reports whether the current scheduler has left or changed its zone, or the
// target's zone got its first member or lost its last.
func (p *Plan) needsPlacement(t *scheduled, before *Plan) bool {
	if t.scheduler == "" {
		return true
	}
	i, present := p.positions[t.scheduler]
	if !present || before.members[before.positions[t.scheduler]].Zone != p.members[i].Zone {
		return true
	}
	return (len(p.byZone[t.Zone]) > 0) != (len(before.byZone[t.Zone]) > 0)
}

// place compares all members that are eligible for the target.
func (p *Plan) place(t *scheduled) {
	t.scheduler, t.incarnation, t.score = "", "", 0
	if local := p.byZone[t.Zone]; len(local) > 0 {
		for _, i := range local {
			p.consider(t, i)
		}
		return
	}
	for i := range p.members {
		p.consider(t, i)
	}
}

func (p *Plan) consider(t *scheduled, i int) {
	s := score(t.key, p.hashes[i])
	if t.scheduler == "" || ranksHigher(s, p.members[i].Name, t.score, t.scheduler) {
		p.assign(t, i, s)
	}
}

func (p *Plan) assign(t *scheduled, i int, s uint64) {
	t.scheduler, t.incarnation, t.score = p.members[i].Name, p.members[i].Incarnation, s
}
