package faults

import (
	"sycamoretrail/internal/replay/trace"
)

// Senders and targets of the requests that a failure adds to Tanglaw's traffic.
const (
	attendants    = "station-south"
	attendantTier = "attendant"
	reporters     = "reports"
	lowestTier    = "back-office"
	riders        = "riders"
	riderTier     = "rider"
	model         = "assistant"
	service       = "reservations"
)

// longTokens is the length of long streams, which run for 6 s at about 20 ms a
// token.
const longTokens = 300

const longDeadlineMS = 60_000

// longStreams returns requests for long streams that begin evenly over a second, so
// that answers are being streamed when the failure begins.
func longStreams(fromMS int64, count int) []trace.Line {
	lines := make([]trace.Line, count)
	for i := range lines {
		lines[i] = trace.Line{
			AtMS: fromMS + int64(i)*1000/int64(count), Organisation: attendants, Tier: attendantTier,
			Kind: trace.Engine, Model: model, PromptTokens: 100, MaxTokens: longTokens,
			DeadlineMS: longDeadlineMS, Idempotent: true,
		}
	}
	return lines
}

// backlog returns a burst of the lowest tier that exceeds the free slots of the
// engines, so that requests wait in the entries.
func backlog(atMS int64, count int) []trace.Line {
	lines := make([]trace.Line, count)
	for i := range lines {
		lines[i] = trace.Line{
			AtMS: atMS, Organisation: reporters, Tier: lowestTier, Kind: trace.Engine, Model: model,
			PromptTokens: 150, MaxTokens: 40, DeadlineMS: 20_000, Idempotent: true,
		}
	}
	return lines
}

func question(atMS int64, prompt int) trace.Line {
	return trace.Line{
		AtMS: atMS, Organisation: riders, Tier: riderTier, Kind: trace.Engine, Model: model,
		PromptTokens: prompt, MaxTokens: 40, DeadlineMS: 6000, Idempotent: true,
	}
}

func reservation(atMS int64, key string) trace.Line {
	return trace.Line{
		AtMS: atMS, Organisation: riders, Tier: riderTier, Kind: trace.Service, Service: service,
		Method: "POST", Path: "slots", DeadlineMS: 4000, Key: key,
	}
}
