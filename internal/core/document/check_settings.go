package document

func (c *checker) limits() {
	l := &c.doc.Limits
	c.inRange("limits.body_bytes", l.BodyBytes, 1, maxBytes)
	c.inRange("limits.header_bytes", l.HeaderBytes, 256, maxBytes)
	c.inRange("limits.connections", l.Connections, 1, maxCount)
	c.inRange("limits.in_flight", l.InFlight, 1, maxCount)
	c.inRange("limits.queue_per_target", l.QueuePerTarget, 1, maxCount)
	c.inRange("limits.remembered_ids", l.RememberedIDs, 1, maxCount)
	c.inRange("limits.deadline_ms", l.DeadlineMS, 1, maxMS)
	c.inRange("limits.stream_bytes", l.StreamBytes, 1, maxBytes)
	if l.RememberedIDs < l.InFlight {
		c.faults.add("limits.remembered_ids", "raise it, or lower limits.in_flight", "%d cannot hold the %d requests in flight", l.RememberedIDs, l.InFlight)
	}
}

func (c *checker) refusal() {
	r := &c.doc.Refusal
	c.inRange("refusal.retry_after_min_ms", r.RetryAfterMinMS, 1, maxMS)
	c.inRange("refusal.retry_after_max_ms", r.RetryAfterMaxMS, 1, maxMS)
	c.inRange("refusal.floor_ms", r.FloorMS, 1, maxMS)
	c.inRange("refusal.short_prompt_tokens", r.ShortPromptTokens, 0, maxCount)
	c.inRange("refusal.prefill_budget", r.PrefillBudget, 0, maxCount)
	if r.RetryAfterMinMS > r.RetryAfterMaxMS {
		c.faults.add("refusal.retry_after_min_ms", "write the smaller number first", "%d is more than retry_after_max_ms, %d", r.RetryAfterMinMS, r.RetryAfterMaxMS)
	}
	if !(r.ShortShare >= 0 && r.ShortShare < 1) {
		c.faults.add("refusal.short_share", "write a part from 0 up to, and without, 1", "%v leaves long requests no place", r.ShortShare)
	}
}

func (c *checker) shutdown() {
	s := &c.doc.Shutdown
	c.inRange("shutdown.drain_ms", s.DrainMS, 1, maxMS)
	c.inRange("shutdown.entries_ttl_ms", s.EntriesTTLMS, 1, maxMS)
	// If an entry stopped before its last answer with the list of entries has
	// expired, callers would connect to an address that does not accept connections.
	if s.DrainMS <= s.EntriesTTLMS {
		c.faults.add("shutdown.drain_ms", "raise it above entries_ttl_ms", "%d ms ends before answers good for %d ms have lapsed", s.DrainMS, s.EntriesTTLMS)
	}
}

func (c *checker) timing() {
	t := &c.doc.Timing
	c.inRange("timing.heartbeat_ms", t.HeartbeatMS, 1, maxMS)
	c.inRange("timing.silence_ms", t.SilenceMS, 1, maxMS)
	c.inRange("timing.grant_ms", t.GrantMS, 1, maxMS)
	c.inRange("timing.claim_horizon_ms", t.ClaimHorizonMS, 1, maxMS)
	c.inRange("timing.retention_ms", t.RetentionMS, 1, maxMS)
	if 2*t.HeartbeatMS > t.SilenceMS {
		c.faults.add("timing.silence_ms", "raise it to at least twice heartbeat_ms", "%d ms lets one lost heartbeat count as silence", t.SilenceMS)
	}
	// A grant must expire before its scheduler may be replaced. Otherwise grants of
	// two schedulers could use the same slot.
	if t.GrantMS >= t.SilenceMS {
		c.faults.add("timing.grant_ms", "lower it below silence_ms", "%d ms outlives the silence after which a scheduler is replaced, %d", t.GrantMS, t.SilenceMS)
	}
	if longest := t.RetentionMS - t.RetentionMS/retentionMargin; t.ClaimHorizonMS >= longest {
		c.faults.add("timing.claim_horizon_ms", "lower it to less than three quarters of retention_ms", "%d ms is not below %d, the log's retention less a quarter", t.ClaimHorizonMS, longest)
	}
	// A key that expired while its request may still run could be claimed again.
	if t.ClaimHorizonMS <= c.doc.Limits.DeadlineMS {
		c.faults.add("timing.claim_horizon_ms", "raise it above limits.deadline_ms", "%d ms forgets a key while its request may still run", t.ClaimHorizonMS)
	}
}
