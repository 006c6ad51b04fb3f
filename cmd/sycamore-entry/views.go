package main

import (
	"sync/atomic"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/duty"
)

// views holds the latest view for readers on any goroutine; nil before the first.
type views struct {
	current atomic.Pointer[entry.View]
}

// Publish replaces the view.
func (v *views) Publish(view *entry.View) { v.current.Store(view) }

// Latest returns the view in force.
func (v *views) Latest() *entry.View { return v.current.Load() }

// publishers hands a view to several.
type publishers []duty.Publisher

// Publish hands the view to each in turn.
func (p publishers) Publish(view *entry.View) {
	for _, one := range p {
		one.Publish(view)
	}
}
