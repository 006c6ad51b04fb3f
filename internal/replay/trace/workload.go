package trace

// Deployment names one of the two workloads that generators know.
type Deployment string

const (
	Tanglaw   Deployment = "tanglaw"
	Quebracho Deployment = "quebracho"
)

// Scenario names a disturbance of the usual traffic.
type Scenario string

const (
	// Usual has the deployment's ordinary bursts.
	Usual Scenario = "usual"
	// Flood: from a third to two thirds of the time the largest organisation
	// sends FloodFactor times the whole capacity on top, in its first stream.
	Flood Scenario = "flood"
	// ShiftBurst: at half time the streams of attendants rise ShiftFactor times.
	ShiftBurst Scenario = "shift"
	// BriefsDuringCall: at half time ten brief packs arrive within one second,
	// while copy suggestions go on.
	BriefsDuringCall Scenario = "call"
)

const (
	// FloodFactor is the flooding organisation's extra load.
	FloodFactor = 1.0
	// ShiftFactor is the rise of a shift change.
	ShiftFactor = 6.0
	// shiftSeconds is how long the rise lasts.
	shiftSeconds = 3.0
	// callPacks and briefsPerPack size the BriefsDuringCall scenario.
	callPacks     = 10
	briefsPerPack = 3
)

// span is an inclusive range from which a size is drawn evenly.
type span struct{ low, high int }

func (s span) mean() float64 { return float64(s.low+s.high) / 2 }

// stream is one sort of request of a workload.
type stream struct {
	name string
	kind Kind
	// rank is the tier's place in the document; the last tier if there are fewer.
	rank int
	// weight is the part of the engine requests, or for a service the number
	// of calls for each engine request.
	weight float64
	prompt span
	shared int
	answer span
	// deadlineMS and firstTokenMS in milliseconds; 0: the tier's rule.
	deadlineMS, firstTokenMS int64
	// method and path of a service call.
	method, path string
	// keyed: not idempotent, sent with an Idempotency-Key.
	keyed bool
	// bursty streams follow the bursts; shift streams rise in a shift burst.
	bursty, shift bool
}

// workload is a deployment's traffic.
type workload struct {
	streams []stream
	// A burst begins every burstEvery seconds and multiplies bursty streams
	// by burstFactor for burstSeconds.
	burstEvery, burstSeconds, burstFactor float64
	// resendShare of keyed calls is sent again by its caller.
	resendShare float64
}

// tanglaw: trains bring bursts of short urgent questions and reservations.
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

// quebracho: briefs a hundred times longer than the copy suggestions beside them.
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
