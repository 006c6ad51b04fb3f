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

// describe forms the line of a request.
func (r *Recorder) describe(a Arrival) trace.Line {
	req := &a.Request
	// Requests of several connections may reach the ring out of order, by less
	// than the writer needs for a line; a trace's times never go back.
	r.lastMS = max(r.lastMS, req.Arrived.Sub(r.began).Milliseconds())
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
	if before, found := r.seen.ids[req.ID]; found {
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

// sharedPrefix names the longest beginning of the prompt that an earlier one of
// the recording had. The first request of each beginning has none, so a replay
// computes it once more than the engines did.
func (r *Recorder) sharedPrefix(req *request.Request) *trace.Prefix {
	for i := len(req.Prefixes) - 1; i >= 0; i-- {
		if r.seen.prefixes[req.Prefixes[i]] {
			return &trace.Prefix{
				ID:     r.hash.number("prefix", req.Prefixes[i]),
				Tokens: (i + 1) * request.PrefixBlockTokens,
			}
		}
	}
	return nil
}

// hasher makes keyed hashes. Plain ones of short texts are undone by trying all.
type hasher struct{ key []byte }

const (
	keyLabel = "sycamoretrail trace"
	// hashBytes of a hash keep chance collisions out of any recording.
	hashBytes = 8
)

// newHasher derives a key of its own, so that no hash in the file helps with
// anything else that the secret protects.
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

// Bounds of what the writer remembers of earlier lines.
const (
	maxIDs      = 16384
	maxPrefixes = 65536
)

// written is an earlier line.
type written struct {
	line int
	atMS int64
}

// memory holds ids and prompts' beginnings of earlier lines. When one of its maps
// is full it begins anew: what was forgotten counts as not seen.
type memory struct {
	ids      map[ident.RequestID]written
	prefixes map[uint64]bool
}

func newMemory() *memory {
	return &memory{ids: make(map[ident.RequestID]written), prefixes: make(map[uint64]bool)}
}

func (m *memory) add(req *request.Request, line int, atMS int64) {
	if len(m.ids) >= maxIDs {
		clear(m.ids)
	}
	if _, known := m.ids[req.ID]; !known {
		m.ids[req.ID] = written{line: line, atMS: atMS}
	}
	if len(m.prefixes) >= maxPrefixes {
		clear(m.prefixes)
	}
	for _, prefix := range req.Prefixes {
		m.prefixes[prefix] = true
	}
}
