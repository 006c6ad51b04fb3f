package trace

// Deployment names one of the two built-in workloads.
type Deployment string

const (
	Tanglaw   Deployment = "tanglaw"
	Quebracho Deployment = "quebracho"
)

// Scenario names a deviation from the typical traffic.
type Scenario string

const (
	// Typical is the typical traffic with the deployment's own bursts.
	Typical Scenario = "usual"
	// Flood adds requests of the first stream at FloodFactor times the total
	// capacity, all from the largest organisation, during the middle third of the
	// trace.
	Flood Scenario = "flood"
	// ShiftBurst multiplies the rate of the attendants' streams by ShiftFactor
	// for shiftSeconds from the middle of the trace.
	ShiftBurst Scenario = "shift"
	// BriefsDuringCall adds ten packs of briefs within one second at the middle of
	// the trace, while copy suggestions continue.
	BriefsDuringCall Scenario = "call"
)

const (
	// FloodFactor is the extra load of the flood as a multiple of capacity.
	FloodFactor = 1.0
	// ShiftFactor is the factor by which the rate rises at a shift change.
	ShiftFactor = 6.0
	// shiftSeconds is how long the rise lasts.
	shiftSeconds = 3.0
	// callPacks and briefsPerPack are the size of the BriefsDuringCall scenario.
	callPacks     = 10
	briefsPerPack = 3
)

// span is an inclusive range of sizes, drawn with uniform distribution.
type span struct{ low, high int }

func (s span) mean() float64 { return float64(s.low+s.high) / 2 }

// stream is one type of request of a workload.
type stream struct {
	name string
	kind Kind
	// rank is the tier's position in the document. If the document has fewer
	// tiers, the last one applies.
	rank int
	// weight is the share of the engine requests, or for a service the number of
	// calls per engine request.
	weight float64
	prompt span
	shared int
	answer span
	// deadlineMS and firstTokenMS are in milliseconds; if 0, the tier's bounds
	// apply.
	deadlineMS, firstTokenMS int64
	// method and path of a service call.
	method, path string
	// keyed calls are not idempotent and are sent with an Idempotency-Key.
	keyed bool
	// bursty streams follow the bursts; shift streams also rise in a shift burst.
	bursty, shift bool
}

// workload is a deployment's traffic.
type workload struct {
	streams []stream
	// A burst begins every burstEvery seconds and multiplies bursty streams
	// by burstFactor for burstSeconds.
	burstEvery, burstSeconds, burstFactor float64
	// resendShare is the share of keyed calls that their callers resend.
	resendShare float64
}

// tanglaw returns a workload with bursts of short urgent questions and
// reservations, as trains arrive.
func tanglaw() workload {
	return workload{
		burstEvery: 10, burstSeconds: 2, burstFactor: 2.5, resendShare: 0.03,
		streams: []stream{
			{name: "question", kind: Engine, rank: 0, weight: 0.55, prompt: span{140, 300}, shared: 128,
				answer: span{20, 60}, deadlineMS: 4000, firstTokenMS: 1000, bursty: true},
			{name: "lookup", kind: Engine, rank: 1, weight: 0.3, prompt: span{140, 260}, shared: 128,
				answer: span{20, 80}, deadlineMS: 6000, firstTokenMS: 2000, bursty: true, shift: true},
			{name: "summary", kind: Engine, rank: 2, weight: 0.15, prompt: span{40, 300},
				answer: span{40, 80}, deadlineMS: 15000},
			{name: "reserve", kind: Service, rank: 0, weight: 0.12, method: "POST", path: "slots",
				deadlineMS: 4000, keyed: true, bursty: true},
			{name: "racks", kind: Service, rank: 1, weight: 0.2, method: "GET", path: "racks/free",
				deadlineMS: 4000, bursty: true, shift: true},
		},
	}
}

// quebracho returns a workload with briefs a hundred times longer than the copy
// suggestions sent at the same time.
func quebracho() workload {
	return workload{
		burstEvery: 15, burstSeconds: 4, burstFactor: 2, resendShare: 0.05,
		streams: []stream{
			{name: "copy", kind: Engine, rank: 0, weight: 0.88, prompt: span{100, 300},
				answer: span{40, 120}, deadlineMS: 6000, firstTokenMS: 1500, bursty: true},
			{name: "brief", kind: Engine, rank: 1, weight: 0.12, prompt: span{8000, 30000}, shared: 2048,
				answer: span{300, 800}, deadlineMS: 60000},
			{name: "order", kind: Service, rank: 1, weight: 0.15, method: "GET", path: "orders/open",
				deadlineMS: 4000, shift: true},
			{name: "approve", kind: Service, rank: 0, weight: 0.1, method: "POST", path: "proofs/approve",
				deadlineMS: 6000, keyed: true},
		},
	}
}
