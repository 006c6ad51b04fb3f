package document

// Defaults of optional numbers. They apply to numbers that the file omits. A number
// in the file, including 0, is kept and checked.
const (
	DefaultTierDeadlineMS = 30_000
	DefaultWeight         = 1
	DefaultContextTokens  = 8192
	DefaultMaxInFlight    = 16
	// DefaultPrefillRate (tokens/s) and DefaultStepMS are the initial estimates of
	// an engine. They also replace 0 in the file, since a speed of 0 is meaningless.
	DefaultPrefillRate = 4000
	DefaultStepMS      = 28
)

// DefaultLimits returns the limits of a document that omits them.
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

// DefaultRefusal returns the refusal settings of a document that omits them.
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

// DefaultShutdown returns the shutdown settings of a document that omits them.
func DefaultShutdown() Shutdown {
	return Shutdown{DrainMS: 30_000, EntriesTTLMS: 5_000}
}

// DefaultTiming returns the intervals of a document that omits them.
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
