package entry

// guard names a safeguard whose absence the random schedules must detect. Only
// tests disable one; see docs/design/15-proof.md.
type guard uint8

const (
	_ guard = iota // no safeguard is disabled
	// guardVoid: the owner remembers that it handed over an id.
	guardVoid
	// guardClaim: a key is claimed on the log before its request runs.
	guardClaim
	// guardPartial: a run that broke off is never reported as "not run".
	guardPartial
	// guardOwnerGone: the outcome of an id whose owner has departed is unknown,
	// not "not run".
	guardOwnerGone
	// guardGiveUp: the wait for an owner that does not answer is bounded.
	guardGiveUp
	// guardFloors: the other schedulers of the pool are consulted before a
	// refusal.
	guardFloors
	// guardLeaving: a target that is leaving gets no new requests.
	guardLeaving
	// guardRepeat: a run that may not be repeated is not preempted.
	guardRepeat
	// guardVersion: a peer's document counts only if its version is higher.
	guardVersion
	// guardApply: a document that is accepted from the log is put in force.
	guardApply
	// guardDrain: a drain waits for the requests in flight.
	guardDrain
)

// enabled reports whether a safeguard is in place, which only tests change.
func (e *Entry) enabled(g guard) bool { return e.disabled != g }
