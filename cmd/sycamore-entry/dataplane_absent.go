//go:build !dataplane

package main

import "errors"

// errNoDataPlane: this build has no callers' and targets' side.
var errNoDataPlane = errors.New("the data plane is not in this build")

func newDataPlane(*process) (dataPlane, error) { return nil, errNoDataPlane }
