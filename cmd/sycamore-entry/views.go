package main

import (
	"sync/atomic"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/request"
)

// views holds the latest view for readers on any goroutine.
type views struct {
	current atomic.Pointer[entry.View]
}

// newViews starts with a view in which no document is in force.
func newViews() *views {
	v := &views{}
	v.current.Store(&entry.View{})
	return v
}

// Publish replaces the view.
func (v *views) Publish(view *entry.View) { v.current.Store(view) }

// Latest returns the view in force.
func (v *views) Latest() *entry.View { return v.current.Load() }

// tierName returns the name of a tier in the document in force, or "" if it has none.
func (v *views) tierName(tier request.Tier) string {
	doc := v.Latest().Document
	if doc == nil || int(tier) >= len(doc.Tiers) {
		return ""
	}
	return doc.Tiers[tier].Name
}
