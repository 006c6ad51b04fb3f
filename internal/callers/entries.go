package callers

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/outcome"
)

// EntriesAnswer lists the entries that a caller may use, in order of preference.
type EntriesAnswer struct {
	Entries   []EntryRow `json:"entries"`
	GoodForMS int64      `json:"good_for_ms"`
	IDPrefix  string     `json:"id_prefix"`
}

// EntryRow is one entry that a caller may use.
type EntryRow struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// entries answers /v1/entries.
func (s *Server) entries(ctx *fasthttp.RequestCtx) {
	view := s.cfg.View()
	if len(view.Entries) == 0 {
		s.refuse(ctx, fasthttp.StatusServiceUnavailable, "",
			outcome.Refused(outcome.ReasonNotReady, notReadyRetry, "this entry knows of none that is ready"))
		return
	}
	body, err := json.Marshal(entriesFor(view, string(ctx.QueryArgs().Peek("zone")), int(s.answers.Add(1)-1)))
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(jsonType)
	ctx.SetBody(body)
}

// entriesFor lists the entries of the caller's availability zone first, and within
// its zone the answering entry: the ids that the caller forms have its prefix, so
// that any other entry would have to query it for each request. It lists itself only
// while it is ready. The other entries of a zone are rotated by one more position on
// each answer, since callers stay with the first entry of the list and would
// otherwise all use the same one.
func entriesFor(view *entry.View, zone string, turn int) EntriesAnswer {
	answer := EntriesAnswer{
		Entries:   make([]EntryRow, 0, len(view.Entries)),
		GoodForMS: view.GoodFor.Milliseconds(),
		IDPrefix:  string(view.Prefix),
	}
	for _, sameZone := range []bool{true, false} {
		var others []EntryRow
		for _, m := range view.Entries {
			row := EntryRow{Name: m.Name, Address: m.CallerAddress, Zone: m.Zone}
			switch {
			case (m.Zone == zone) != sameZone:
			case view.Owns(m):
				answer.Entries = append(answer.Entries, row)
			default:
				others = append(others, row)
			}
		}
		answer.Entries = append(answer.Entries, rotated(others, turn)...)
	}
	return answer
}

// rotated returns the list rotated left by turn positions.
func rotated(list []EntryRow, turn int) []EntryRow {
	if len(list) == 0 {
		return nil
	}
	at := turn % len(list)
	return append(append([]EntryRow(nil), list[at:]...), list[:at]...)
}
