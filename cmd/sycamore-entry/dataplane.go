package main

import (
	"errors"
	"net"

	"sycamoretrail/internal/duty"
)

// dataPlane is the way of requests through the process: callers, flights, targets.
type dataPlane interface {
	duty.Targets
	duty.Flights
	duty.Publisher
	// Serve answers callers until Close.
	Serve(net.Listener) error
	Close()
}

// errNoDataPlane: this build has no callers' and targets' side.
var errNoDataPlane = errors.New("the data plane is not wired into this build")

// newDataPlane is to be replaced by the wiring of internal/callers, flight and
// targets, which take p.loop as their core.
func newDataPlane(*process) (dataPlane, error) { return nil, errNoDataPlane }
