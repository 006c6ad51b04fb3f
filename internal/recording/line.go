package recording

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/trace"
)

// describe returns the line of a request.
func (r *Recorder) describe(a Arrival) trace.Line {
	req := &a.Request
	// Requests of several connections may reach the ring slightly out of order, by less
	// time than the writer needs for a line; the times of a trace must not decrease.
	r.lastMS = max(r.lastMS, req.Arrived.Sub(r.start).Milliseconds())
	line := trace.Line{
		AtMS:         r.lastMS,
		Organisation: req.Organisation,
		Tier:         a.Tier,
		DeadlineMS:   milliseconds(req.Arrived, req.Deadline),
		FirstTokenMS: milliseconds(req.Arrived, req.FirstTokenBy),
		Idempotent:   req.Idempotent,
	}
	if req.Key != "" {
		line.Key = r.hash.text("key", string(req.Key))
	}
	if before, found := r.history.ids[req.ID]; found {
		line.Resend = &trace.Resend{Of: before.line, AfterMS: r.lastMS - before.atMS, SameID: true}
	}
	if req.Kind == request.Service {
		line.Kind, line.Service, line.Method = trace.Service, req.Model, a.Method
		line.Path = r.hash.text("path", a.Path)
		return line
	}
	line.Kind, line.Model = trace.Engine, req.Model
	line.PromptTokens, line.MaxTokens = max(req.PromptTokens, 1), req.MaxTokens
	line.SharedPrefix = r.sharedPrefix(req)
	return line
}

func milliseconds(from, until time.Time) int64 {
	if until.IsZero() {
		return 0
	}
	return until.Sub(from).Milliseconds()
}

// sharedPrefix returns the longest prefix that the prompt shares with an earlier one of
// the recording. The first request with a prefix has none, so a replay computes each
// prefix once more than the engines did.
func (r *Recorder) sharedPrefix(req *request.Request) *trace.Prefix {
	for i := len(req.Prefixes) - 1; i >= 0; i-- {
		if r.history.prefixes[req.Prefixes[i]] {
			return &trace.Prefix{
				ID:     r.hash.number("prefix", req.Prefixes[i]),
				Tokens: (i + 1) * request.PrefixBlockTokens,
			}
		}
	}
	return nil
}

// hasher computes keyed hashes. A short text could be recovered from its plain hash by
// trying all texts.
type hasher struct{ key []byte }

const (
	keyLabel = "sycamoretrail trace"
	// hashBytes is long enough to avoid accidental collisions within a recording.
	hashBytes = 8
)

// newHasher derives a separate key from the secret, so that the hashes in the file
// reveal nothing that helps to attack other uses of the secret.
func newHasher(secret []byte) hasher {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte(keyLabel))
	return hasher{key: mac.Sum(nil)}
}

func (h hasher) text(use, text string) string { return h.sum(use, []byte(text)) }

func (h hasher) number(use string, n uint64) string {
	return h.sum(use, binary.BigEndian.AppendUint64(nil, n))
}

func (h hasher) sum(use string, data []byte) string {
	mac := hmac.New(sha256.New, h.key)
	_, _ = mac.Write([]byte(use))
	_, _ = mac.Write([]byte{0})
	_, _ = mac.Write(data)
	return hex.EncodeToString(mac.Sum(nil)[:hashBytes])
}

// Bounds of the history of earlier lines.
const (
	maxIDs      = 16384
	maxPrefixes = 65536
)

// earlierLine identifies an earlier line.
type earlierLine struct {
	line int
	atMS int64
}

// history holds the ids and the prompt prefixes of earlier lines. A map that is full is
// cleared; the entries that it had count as new when they occur again.
type history struct {
	ids      map[ident.RequestID]earlierLine
	prefixes map[uint64]bool
}

func newHistory() *history {
	return &history{ids: make(map[ident.RequestID]earlierLine), prefixes: make(map[uint64]bool)}
}

func (m *history) add(req *request.Request, line int, atMS int64) {
	if len(m.ids) >= maxIDs {
		clear(m.ids)
	}
	if _, known := m.ids[req.ID]; !known {
		m.ids[req.ID] = earlierLine{line: line, atMS: atMS}
	}
	if len(m.prefixes) >= maxPrefixes {
		clear(m.prefixes)
	}
	for _, prefix := range req.Prefixes {
		m.prefixes[prefix] = true
	}
}
