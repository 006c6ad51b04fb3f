// Package reasons explains the reasons with which requests end, and what an operator
// or a caller can do about them. sycamorectl explain, the decision log and the
// operators' pages show these texts.
package reasons

import "sycamoretrail/internal/core/outcome"

// Explanation explains one reason.
type Explanation struct {
	// Meaning is a sentence without its full stop, Remedy a piece of advice.
	Meaning, Remedy string
}

// Of returns the explanation of a reason; it is zero for ReasonNone and unknown reasons.
func Of(reason outcome.Reason) Explanation { return explanations[reason] }

var explanations = map[outcome.Reason]Explanation{
	outcome.ReasonMalformed: {
		"the request could not be read, or a header field or the body is not as docs/API.md says",
		"the answer's detail names the part; the caller mends it"},
	outcome.ReasonTooLarge: {
		"header, body, or prompt and answer together exceed a limit",
		"send less, or raise limits.header_bytes, limits.body_bytes or the model's context_tokens"},
	outcome.ReasonUnauthorised: {
		"no organisation has this bearer key, or a stream belongs to another one",
		"use the organisation's key; its SHA-256 must stand in key_hashes"},
	outcome.ReasonUnknownModel: {
		"the organisation may not use this model, or there is none of this name",
		"add the model to the organisation's models"},
	outcome.ReasonUnknownService: {
		"the organisation may not use this service, or there is none of this name",
		"add the service to the organisation's services"},
	outcome.ReasonTierNotAllowed: {
		"the organisation may not use the tier named in X-Tier",
		"add the tier to the organisation's tiers, or leave the header out"},
	outcome.ReasonOrganisationLimit: {
		"the organisation has as many requests in flight at this entry as its max_in_flight allows",
		"come back after Retry-After; raise max_in_flight if it is too low"},
	outcome.ReasonNotReady: {
		"the entry has no document in force yet, or knows of no ready entry",
		"ask another entry; if all say so, see whether the log can be read and a document was published"},
	outcome.ReasonDraining: {
		"the entry is stopping as planned and takes nothing new",
		"ask again which entry to use"},
	outcome.ReasonEntryFull: {
		"the entry holds as many requests, ids, streams or connections as it may",
		"come back after Retry-After; see limits.in_flight and limits.connections, or run more entries"},
	outcome.ReasonOverload: {
		"the pool's targets are full with work of this tier and higher ones, and the queue has no room",
		"come back after Retry-After; add targets, or refuse less important work by tier"},
	outcome.ReasonDisplaced: {
		"the request waited in a full queue and a request of a higher tier took its place",
		"come back after Retry-After; the pool needs more targets if this goes on"},
	outcome.ReasonDeadline: {
		"at the present load no target could give the first token or the whole answer in time",
		"come back after Retry-After, or allow more time; refusal.early switches the early refusal"},
	outcome.ReasonDeadlinePassed: {
		"the deadline passed, before a target began it (not_run) or while it ran (ran_in_part)",
		"allow more time; many of these mean that estimates are off or a target straggles: sycamorectl targets"},
	outcome.ReasonArrivedLate: {
		"its bounds were as good as past when it arrived, so that no target, however idle, could keep them",
		"the caller sends earlier or allows more time; see its X-Deadline-Ms and the tier's deadline_ms"},
	outcome.ReasonNoTarget: {
		"no target of the pool is available",
		"sycamorectl targets --pool POOL shows which are leaving or unreachable"},
	outcome.ReasonLogUnavailable: {
		"the idempotency key could not be claimed, because the log or the key's home did not answer",
		"ask again with the same key when the log is back; requests without a key are not concerned"},
	outcome.ReasonDuplicateKey: {
		"another request of the organisation has this idempotency key",
		"follow Location to its answer, or use another key for another request"},
	outcome.ReasonQuarantined: {
		"targets died each time that they ran this request, so it is run no more; or three engines died under prompts that begin like this one and none was answered between, which ends with an answer or after Retry-After",
		"do not send it again, or after the time that is given; keep its body for the engine's makers"},
	outcome.ReasonProcessPaused: {
		"the entry's process stood still for longer than its rights last, so it gave up what waited",
		"send again; if it happens often, look at the instance's processor and memory"},
	outcome.ReasonVoided: {
		"its owner was told that the request must not run under this id",
		"send it again under a new id"},
	outcome.ReasonPreempted: {
		"a request of a higher tier needed the place, and this one had computed the least",
		"send again; only requests that may be repeated are ended so"},
	outcome.ReasonTargetFailed: {
		"the target failed or cut the answer while it ran the request",
		"sycamorectl targets and the target's own logs; the caller may send again what may be repeated"},
	outcome.ReasonTargetRejected: {
		"the target found an error of the request's own, and its answer was passed on whole",
		"the caller mends the request; see the body of the answer"},
	outcome.ReasonCallerGone: {
		"the caller closed its connection before the answer was whole",
		"nothing, unless it is frequent: then callers wait less long than their deadlines"},
	outcome.ReasonOwnerUnreachable: {
		"the entry that owns the id, or holds its answer, did not answer",
		"ask again with the same id; sycamorectl status shows which entries are cut off"},
	outcome.ReasonOwnerReplaced: {
		"the entry that owned the id is gone, and nobody else knows whether the request ran",
		"send it again under a new id if it may be repeated; otherwise look at the target"},
	outcome.ReasonIDExpired: {
		"the id is older than its owner remembers, or its prefix is no longer good",
		"ask for a new prefix and send under a new id"},
	outcome.ReasonAnswerNotHeld: {
		"the answer, or the part asked for, is no longer held by the entry or the target",
		"read sooner, or raise limits.stream_bytes"},
	outcome.ReasonStopped: {
		"the entry ended before the request did",
		"ask another entry, with the same id"},
}
