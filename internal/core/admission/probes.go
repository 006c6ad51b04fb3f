package admission

// probes lets one in eight requests of a closed rank through, so that no rank is starved.
type probes struct {
	credit float64
	count  int
}

const (
	probeShare = 1.0 / 8
	// smallProbes: one in so many probes is left to work below the mean, for as long as
	// smallWait requests. A larger part would let hardly any large request through.
	smallProbes = 3
	smallWait   = 4
)

func (p *probes) next(work, meanWork float64) bool {
	p.credit += probeShare
	if p.credit < 1 {
		return false
	}
	if p.count%smallProbes == 0 && work > meanWork && p.credit < 1+smallWait*probeShare {
		return false
	}
	p.credit--
	p.count++
	return true
}
