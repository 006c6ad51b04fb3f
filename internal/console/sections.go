package console

import "sycamoretrail/internal/core/document"

// section is a part of the document with its own page.
type section struct {
	// ID is the JSON name of the part.
	ID, Title, Intro string
	// One is the term for one record of a list; empty if the part is no list.
	One string
	// Ordered is true for lists that show the position of each record.
	Ordered bool
}

// List reports whether the part is a list of records.
func (s section) List() bool { return s.One != "" }

var sections = []section{
	{ID: "tiers", Title: "Tiers", One: "tier", Ordered: true, Intro: "Tiers of importance. The tier at position 1 is the most important: it is shed last."},
	{ID: "organisations", Title: "Organisations", One: "organisation", Intro: "Customers, by whose bearer tokens requests are known, and what each may use."},
	{ID: "pools", Title: "Pools", One: "pool", Intro: "A pool is a set of interchangeable targets."},
	{ID: "models", Title: "Models", One: "model", Intro: "Models that pools of engines serve."},
	{ID: "services", Title: "Services", One: "service", Intro: "Plain services behind pools."},
	{ID: "classes", Title: "Classes", One: "class", Intro: "What targets of one make have in common."},
	{ID: "targets", Title: "Targets", One: "target", Intro: "Engines and services, one by one."},
	{ID: "limits", Title: "Limits", Intro: "What callers may bring, and what an entry holds."},
	{ID: "refusal", Title: "Refusal", Intro: "Rules of refusing under load."},
	{ID: "shutdown", Title: "Shutdown", Intro: "Rules of planned stops."},
	{ID: "timing", Title: "Timing", Intro: "Intervals of the protocol between entries."},
}

func sectionByID(id string) (section, bool) {
	for _, s := range sections {
		if s.ID == id {
			return s, true
		}
	}
	return section{}, false
}

// label describes how a field is shown.
type label struct {
	Text, Help string
	// Choices returns the allowed values; nil means free text.
	Choices func(*document.Document) []string
	// Lines is true if a list is entered one item per line instead of with commas.
	Lines bool
}

// labels is keyed by "<section>.<field>", both by JSON name.
var labels = map[string]label{
	"tiers.name":           {Text: "Name"},
	"tiers.first_token_ms": {Text: "First token (ms)", Help: "Bound on the time to the first token; 0: none."},
	"tiers.deadline_ms":    {Text: "Deadline (ms)", Help: "Bound on the whole answer, where the request brings none."},

	"organisations.name":          {Text: "Name"},
	"organisations.key_hashes":    {Text: "Token hashes", Help: "Hex SHA-256 of each bearer token, one a line. Never the token.", Lines: true},
	"organisations.tiers":         {Text: "Tiers", Help: "Separated by commas. The first is used when a request names none."},
	"organisations.models":        {Text: "Models", Help: "Separated by commas."},
	"organisations.services":      {Text: "Services", Help: "Separated by commas."},
	"organisations.weight":        {Text: "Weight", Help: "Share within a tier; 1 is usual."},
	"organisations.max_in_flight": {Text: "Most in flight", Help: "Requests at one entry; empty: no bound."},

	"pools.name": {Text: "Name"},

	"models.name":           {Text: "Name"},
	"models.pool":           {Text: "Pool", Choices: poolNames},
	"models.version":        {Text: "Version", Help: "What the pool's targets must hold; empty leaves them as they are."},
	"models.adapters":       {Text: "Adapters", Help: "Separated by commas."},
	"models.context_tokens": {Text: "Context (tokens)", Help: "Bound on prompt and answer together."},

	"services.name":       {Text: "Name"},
	"services.pool":       {Text: "Pool", Choices: poolNames},
	"services.repeatable": {Text: "Repeatable methods", Help: "Idempotent methods, such as GET. A call of any other method runs at most once."},

	"classes.name":           {Text: "Name"},
	"classes.kind":           {Text: "Kind", Choices: kinds},
	"classes.max_in_flight":  {Text: "Most in flight", Help: "Dispatched to one target at a time."},
	"classes.prefill_rate":   {Text: "Prefill rate (tokens/s)", Help: "First estimate, engines only."},
	"classes.step_ms":        {Text: "Step (ms)", Help: "First estimate of the time between tokens, engines only."},
	"classes.checks_fencing": {Text: "Checks fencing numbers", Help: "Refuses an order with an old number."},
	"classes.exports_kv":     {Text: "Exports KV cache", Help: "Can export and import it."},

	"targets.name":    {Text: "Name"},
	"targets.pool":    {Text: "Pool", Choices: poolNames},
	"targets.class":   {Text: "Class", Choices: classNames},
	"targets.zone":    {Text: "Availability zone"},
	"targets.address": {Text: "Address", Help: "IP number and port."},
	"targets.leaving": {Text: "Leaving", Help: "Gets nothing new."},

	"limits.body_bytes":       {Text: "Body (bytes)", Help: "Largest body of a request."},
	"limits.header_bytes":     {Text: "Header (bytes)", Help: "Largest header of a request."},
	"limits.connections":      {Text: "Connections", Help: "At one entry."},
	"limits.in_flight":        {Text: "In flight", Help: "Requests accepted and not settled, at one entry."},
	"limits.queue_per_target": {Text: "Queue per target", Help: "Requests waiting for one target."},
	"limits.remembered_ids":   {Text: "Remembered ids", Help: "Request ids kept at one entry; at least as many as may be in flight."},
	"limits.deadline_ms":      {Text: "Longest deadline (ms)", Help: "The longest that a caller may ask for."},
	"limits.stream_bytes":     {Text: "Answer kept (bytes)", Help: "Held per request, so that it can be read again."},

	"refusal.retry_after_min_ms":  {Text: "Earliest return (ms)", Help: "Least advice of when to come back."},
	"refusal.retry_after_max_ms":  {Text: "Latest return (ms)", Help: "Greatest advice of when to come back."},
	"refusal.early":               {Text: "Refuse early", Help: "Refuse at once what the estimate says cannot be in time."},
	"refusal.preempt":             {Text: "Preempt", Help: "Cancel lower idempotent work for a higher tier."},
	"refusal.floor_ms":            {Text: "Floor (ms)", Help: "How long nothing below a tier is served after a refusal."},
	"refusal.short_prompt_tokens": {Text: "Short prompt (tokens)", Help: "Requests up to this size are short."},
	"refusal.short_share":         {Text: "Share for short requests", Help: "Part of each target's places kept for them, from 0 up to, and without, 1."},
	"refusal.prefill_budget":      {Text: "Prefill budget (tokens)", Help: "Prompt tokens in flight per target; 0: no bound."},

	"shutdown.drain_ms":       {Text: "Drain (ms)", Help: "After this time a stopping entry reports what it still holds. Nothing in flight is cut."},
	"shutdown.entries_ttl_ms": {Text: "Entries' answer (ms)", Help: "How long an answer to 'which entry' is good."},

	"timing.heartbeat_ms":     {Text: "Heartbeat (ms)"},
	"timing.silence_ms":       {Text: "Silence (ms)", Help: "An entry not heard from for so long loses its targets."},
	"timing.grant_ms":         {Text: "Grant (ms)", Help: "A grant is void this long after it was asked for."},
	"timing.claim_horizon_ms": {Text: "Claim horizon (ms)", Help: "How long an idempotency key is remembered."},
	"timing.retention_ms":     {Text: "Retention (ms)", Help: "How long the platform's log keeps a record."},
}

func kinds(*document.Document) []string {
	return []string{string(document.KindEngine), string(document.KindService)}
}

func poolNames(d *document.Document) []string {
	names := make([]string, len(d.Pools))
	for i := range d.Pools {
		names[i] = d.Pools[i].Name
	}
	return names
}

func classNames(d *document.Document) []string {
	names := make([]string, len(d.Classes))
	for i := range d.Classes {
		names[i] = d.Classes[i].Name
	}
	return names
}
