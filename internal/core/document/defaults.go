package document

// Defaults of optional numbers. A number that the file leaves out takes the
// default; one that is written, also 0, stands as written and is checked.
const (
	DefaultTierDeadlineMS = 30_000
	DefaultWeight         = 1
	DefaultContextTokens  = 8192
	DefaultMaxInFlight    = 16
	// DefaultPrefillRate (tokens/s) and DefaultStepMS are first estimates of an
	// engine; 0 in the file means them too, since a speed of 0 has no sense.
	DefaultPrefillRate = 4000
	DefaultStepMS      = 28
)

// DefaultLimits are the limits that a document leaves out.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:      1 << 20,
		HeaderBytes:    16 << 10,
		Connections:    10_000,
		InFlight:       4_000,
		QueuePerTarget: 64,
		RememberedIDs:  200_000,
		DeadlineMS:     120_000,
		StreamBytes:    1 << 20,
	}
}

// DefaultRefusal holds the rules of refusing that a document leaves out.
func DefaultRefusal() Refusal {
	return Refusal{
		RetryAfterMinMS:   200,
		RetryAfterMaxMS:   3000,
		Early:             true,
		Preempt:           true,
		FloorMS:           1000,
		ShortPromptTokens: 512,
	}
}

// DefaultShutdown holds the rules of planned stops that a document leaves out.
func DefaultShutdown() Shutdown {
	return Shutdown{DrainMS: 30_000, EntriesTTLMS: 5_000}
}

// DefaultTiming holds the intervals that a document leaves out.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatMS:    200,
		SilenceMS:      1500,
		GrantMS:        400,
		ClaimHorizonMS: 3_600_000,
		RetentionMS:    14_400_000,
	}
}

func defaultDocument() Document {
	return Document{
		Limits:   DefaultLimits(),
		Refusal:  DefaultRefusal(),
		Shutdown: DefaultShutdown(),
		Timing:   DefaultTiming(),
	}
}
