// Package operators serves the operators' HTTP interface of an entry. The paths
// and JSON types are defined in package api; this package aliases them.
package operators

import "sycamoretrail/internal/operators/api"

// Paths of the interface.
const (
	PathStatus   = api.PathStatus
	PathTargets  = api.PathTargets
	PathFloors   = api.PathFloors
	PathExplain  = api.PathExplain
	PathDocument = api.PathDocument
	PathDrain    = api.PathDrain
	PathLogLevel = api.PathLogLevel
)

// Results of a publication.
const (
	ResultAccepted     = api.ResultAccepted
	ResultSuperseded   = api.ResultSuperseded
	ResultUnknown      = api.ResultUnknown
	ResultInvalid      = api.ResultInvalid
	ResultNotPublished = api.ResultNotPublished
)

// JSON types of the interface.
type (
	Status      = api.Status
	Member      = api.Member
	Peer        = api.Peer
	Targets     = api.Targets
	Target      = api.Target
	Floors      = api.Floors
	Floor       = api.Floor
	Explanation = api.Explanation
	Decision    = api.Decision
	Document    = api.Document
	Result      = api.Result
	Published   = api.Published
	Fault       = api.Fault
	LogLevel    = api.LogLevel
	Drain       = api.Drain
	Failure     = api.Failure
)
