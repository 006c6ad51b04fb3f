package entry

// guard names a safeguard whose absence the random schedules must notice. Only
// tests switch one off; see docs/design/15-proof.md.
type guard uint8

const (
	_ guard = iota // every safeguard is in place
	// guardVoid: the owner remembers that it gave an id up.
	guardVoid
	// guardClaim: a key is claimed on the log before its request runs.
	guardClaim
	// guardPartial: a run that broke is never called "not run".
	guardPartial
	// guardOwnerGone: an id whose owner is gone is unknown, not "not run".
	guardOwnerGone
	// guardGiveUp: an owner that does not answer is not waited for without end.
	guardGiveUp
	// guardFloors: the pool's other schedulers are asked before a refusal.
	guardFloors
	// guardLeaving: a target that leaves gets nothing new.
	guardLeaving
	// guardRepeat: what may not be repeated is not preempted.
	guardRepeat
	// guardVersion: a peer's document counts only if its version is higher.
	guardVersion
	// guardApply: what the log's rule accepts is put in force.
	guardApply
	// guardDrain: a drain waits for what is in flight.
	guardDrain
)

// on reports whether a safeguard is in place: always, but in tests.
func (e *Entry) on(g guard) bool { return e.off != g }
