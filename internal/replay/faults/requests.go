package faults

import (
	"sycamoretrail/internal/replay/trace"
)

// Who sends the requests that a failure adds to the usual traffic of Tanglaw.
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

// longTokens marks the long streams; at some 20 ms a token they run for 6 s.
const longTokens = 300

const longDeadlineMS = 60_000

// longStreams begin evenly over a second, so that answers are under way when the
// failure comes.
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

// backlog is a burst of the lowest tier beyond what the engines can take at
// once, so that requests wait in the entries.
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
