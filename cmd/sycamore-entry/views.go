package main

import (
	"sync/atomic"

	"sycamoretrail/internal/core/entry"
)

// views holds the latest view for readers on any goroutine.
type views struct {
	current atomic.Pointer[entry.View]
}

// newViews begins with a view that says that nothing is in force yet.
func newViews() *views {
	v := &views{}
	v.current.Store(&entry.View{})
	return v
}

// Publish replaces the view.
func (v *views) Publish(view *entry.View) { v.current.Store(view) }

// Latest returns the view in force.
func (v *views) Latest() *entry.View { return v.current.Load() }
