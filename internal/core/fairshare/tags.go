package fairshare

// Tags implements start-time fair queueing between organisations that wait for the same
// targets. The tag of a request is the virtual time at which its organisation would be served
// if each received service in proportion to its weight; the lowest tag goes first. Virtual time
// is that of the last request served, so an organisation that starts to wait has no claim on
// what others received before.
//
// Tags are assigned anew in each pass over the queue, from the service that organisations
// have received. With tags fixed on arrival, an organisation would be charged for requests that
// are refused later.
type Tags struct {
	virtual float64
	pass    uint64
	flows   map[string]*flow
}

// flow is an organisation with waiting requests, or one that is ahead of virtual time.
type flow struct {
	// served is the virtual time up to which it has been served, next the tag of its next
	// request in the current pass.
	served, next float64
	pass         uint64
}

// Begin starts a pass over the queue. Organisations without a request in the previous pass
// are dropped once virtual time has reached the service that they received. If they were dropped
// at once, an organisation with one request at a time would never be charged for it.
func (t *Tags) Begin() {
	for organisation, f := range t.flows {
		if f.pass != t.pass && f.served <= t.virtual {
			delete(t.flows, organisation)
		}
	}
	t.pass++
}

// Assign returns the tag of the next waiting request of an organisation. cost is the time for
// which it needs a slot, divided by the weight of the organisation.
func (t *Tags) Assign(organisation string, cost float64) float64 {
	f, found := t.flows[organisation]
	if !found {
		if t.flows == nil {
			t.flows = make(map[string]*flow)
		}
		f = &flow{served: t.virtual}
		t.flows[organisation] = f
	}
	if f.pass != t.pass {
		f.pass, f.next = t.pass, f.served
	}
	tag := f.next
	f.next += cost
	return tag
}

// Next returns the tag that a further request of an organisation would receive.
func (t *Tags) Next(organisation string) float64 {
	f, found := t.flows[organisation]
	switch {
	case !found:
		return t.virtual
	case f.pass != t.pass:
		return f.served
	}
	return f.next
}

// Served counts a request that has received a slot.
func (t *Tags) Served(organisation string, cost float64) {
	f, found := t.flows[organisation]
	if !found {
		return
	}
	t.virtual = max(t.virtual, f.served)
	f.served += cost
}

// Size returns the number of organisations with waiting requests or ahead of virtual time.
func (t *Tags) Size() int { return len(t.flows) }
