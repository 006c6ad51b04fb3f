package gateway

import (
	"net/url"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/streams"
	"sycamoretrail/internal/eventlog"
)

// A stream continues only at the service and software version that began it: within one answer,
// when its caller reconnects at any entry, and when it is handed off.

// How the origin of a stream to which its caller reconnects was determined, for logs and metrics.
const (
	originKnown       = "known"
	originOnlyVersion = "only_version"
	originMoved       = "moved" // the route leads to other services now
	originUnknown     = "unknown"
	originLost        = "lost" // nobody knows it, and it is not recorded
)

// lostRetryAfter is the pause for callers of streams whose version will not become known: to begin again is of
// more use to them.
const lostRetryAfter = 5 * time.Second

// isReconnect reports whether the caller continues a stream of an earlier attempt.
func (c *call) isReconnect() bool {
	return c.gateway.settings.Load.BindStreams && c.route.Kind == catalog.Stream && c.route.Resumable && c.envelope.LastEvent != ""
}

// findOrigin binds a request that reconnects to a stream to the service and version that began it. A
// stream is refused rather than continued at a version that may be another one.
func (c *call) findOrigin() *reply {
	if !c.isReconnect() || c.origin != nil {
		return nil
	}
	began := time.Now()
	stream := candidate{c.streamKey(), c.service, c.longestStream()}
	f := c.gateway.origins.find(stream, min(originWait, time.Until(c.expires)/2))
	source := originKnown
	switch {
	case f.found && c.route.UsesService(f.origin.Service):
		c.service, c.origin = f.origin.Service, &f.origin
	case f.found:
		source = originMoved
	default:
		source = c.bindToOnlyVersion(stream, f)
	}
	importance := eventlog.StateChange
	if source == originUnknown || source == originLost {
		importance = eventlog.Failure
	}
	versions, knownFor := c.gateway.origins.observed(stream)
	c.gateway.log.Write(importance, eventReconnect, eventlog.Fields{
		"id": c.envelope.ID, "resumes": c.envelope.Resumes, "source": source, "service": c.service,
		"origin_service": f.origin.Service, "origin_version": f.origin.Version, "took_ms": time.Since(began).Milliseconds(),
		"versions": versions, "known_for_ms": knownFor.Milliseconds(), "asked": f.asked, "replied": f.replied, "others_know_several": f.several[c.service],
		"records_read": f.recordsRead,
	})
	c.gateway.counters.reconnects.add(source)
	switch source {
	case originUnknown:
		// Callers that lost an entry ask at the same moment.
		return unknownStream.after(jitter(time.Second))
	case originLost:
		return lostStream.after(lostRetryAfter)
	default:
		return nil
	}
}

// bindToOnlyVersion binds a stream that nobody knows to the version of its service if that has had no other at
// which the stream may have begun. It returns how the origin was determined.
func (c *call) bindToOnlyVersion(stream candidate, f finding) string {
	version, only := c.gateway.origins.onlyVersion(stream)
	switch {
	case only && !f.several[c.service] && !c.route.IsSplit() && c.gateway.origins.knowsVersions(&f):
		c.origin = &streams.Origin{Service: c.service, Version: version}
		return originOnlyVersion
	case f.recordsRead && f.allReplied(c.gateway.origins.others()):
		return originLost
	default:
		return originUnknown
	}
}

// longestStream returns how long ago the latest run of a stream may have begun to which this call reconnects: it
// may have taken the route's time, and callers pause for less than they have left.
func (c *call) longestStream() time.Duration {
	timeout := c.route.Timeout
	if timeout == 0 {
		timeout = defaultWaitLimit
	}
	return min(timeout+c.waitLimit()+originMargin, streams.VersionMemory)
}

// streamKey identifies the stream: by the request that brought its first event.
func (c *call) streamKey() streams.Key {
	id := c.envelope.ID
	if c.envelope.Resumes != "" && c.envelope.LastEvent != "" {
		id = c.envelope.Resumes
	}
	return streams.KeyOf(c.organisation, id)
}

// recordOrigin binds the call to the service and version that brought the stream's first event, and makes them
// known before the event is passed on. If await is set, and they could not be deduced, it waits, briefly, until they
// are recorded.
func (c *call) recordOrigin(origin streams.Origin, await bool) {
	if !c.gateway.settings.Load.BindStreams {
		return
	}
	again := c.origin != nil
	c.origin = &origin
	if !c.route.Resumable {
		return
	}
	log := c.gateway.origins.log
	await = await && !again && (c.route.IsSplit() || c.gateway.origins.isAmbiguous(origin.Service)) && log.confirmsSoon()
	key := c.streamKey()
	recorded := c.gateway.origins.recordBegin(key, origin, time.Until(c.arrived.Add(c.waitLimit()))+originMargin, await)
	if await {
		log.await(key, recorded, c.disconnected)
	}
}

// encodeOrigin returns an origin as the value of a header between entries.
func encodeOrigin(origin *streams.Origin) string {
	if origin == nil {
		return ""
	}
	return url.Values{"service": {origin.Service}, "version": {origin.Version}}.Encode()
}

// decodeOrigin returns nil for a value that is no origin.
func decodeOrigin(text string) *streams.Origin {
	values, err := url.ParseQuery(text)
	if err != nil || !values.Has("service") || !values.Has("version") {
		return nil
	}
	return &streams.Origin{Service: values.Get("service"), Version: values.Get("version")}
}
