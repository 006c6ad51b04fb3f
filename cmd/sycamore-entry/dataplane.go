package main

import (
	"context"
	"net"

	"sycamoretrail/internal/duty"
)

// dataPlane is the way of requests through the process: callers, flights, targets.
type dataPlane interface {
	duty.Targets
	duty.Flights
	// Serve answers callers until Close.
	Serve(net.Listener) error
	// Watch probes targets until the context ends.
	Watch(context.Context)
	Close()
}
