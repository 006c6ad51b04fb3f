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
)

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
	f := c.gateway.origins.find(c.streamKey(), min(originWait, time.Until(c.expires)/2))
	source := originKnown
	switch {
	case f.found && c.route.UsesService(f.origin.Service):
		c.service, c.origin = f.origin.Service, &f.origin
	case f.found:
		source = originMoved
	default:
		source = originOnlyVersion
		version, only := c.gateway.origins.onlyVersion(c.service)
		if !only || f.several[c.service] {
			source = originUnknown
			break
		}
		c.origin = &streams.Origin{Service: c.service, Version: version}
	}
	importance := eventlog.StateChange
	if source == originUnknown {
		importance = eventlog.Failure
	}
	versions, since := c.gateway.origins.observed(c.service)
	c.gateway.log.Write(importance, eventReconnect, eventlog.Fields{
		"id": c.envelope.ID, "resumes": c.envelope.Resumes, "source": source, "service": c.service,
		"origin_service": f.origin.Service, "origin_version": f.origin.Version, "took_ms": time.Since(began).Milliseconds(),
		"versions": versions, "observed_ms": since.Milliseconds(), "asked": f.asked, "replied": f.replied, "others_know_several": f.several[c.service],
	})
	c.gateway.counters.reconnects.add(source)
	if source == originUnknown {
		// Callers that lost an entry ask at the same moment.
		return unknownStream.after(jitter(time.Second))
	}
	return nil
}

// streamKey identifies the stream: by the request that brought its first event.
func (c *call) streamKey() streams.Key {
	id := c.envelope.ID
	if c.envelope.Resumes != "" && c.envelope.LastEvent != "" {
		id = c.envelope.Resumes
	}
	return streams.KeyOf(c.organisation, id)
}

// recordOrigin binds the call to the service and version that brought the stream's first event,
// and makes them known before the event is passed on.
func (c *call) recordOrigin(origin streams.Origin) {
	if !c.gateway.settings.Load.BindStreams {
		return
	}
	c.origin = &origin
	if c.route.Resumable {
		c.gateway.origins.recordBegin(c.streamKey(), origin, time.Until(c.arrived.Add(c.waitLimit()))+originMargin)
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
