package live

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/replay/trace"
)

// CrashText in a prompt marks a crashing request: stand-ins can be set to crash
// when they receive it.
const CrashText = "replay-poison"

// bytesPerToken is the length of one token in the generated text of a prompt.
const bytesPerToken = 4

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type serviceBody struct {
	Line int    `json:"line"`
	Text string `json:"text"`
}

// body generates a request body of the recorded size. Equal shared prefixes give
// equal leading text, and a line that repeats another gives the same body.
func body(t *trace.Trace, index int) ([]byte, error) {
	line := &t.Lines[index]
	source := index
	if line.Resend != nil {
		source = line.Resend.Of
	}
	if line.Kind == trace.Service {
		return json.Marshal(serviceBody{Line: source, Text: line.Path})
	}
	chat := chatBody{Model: line.Model, Stream: true, MaxTokens: line.MaxTokens}
	own := line.PromptTokens
	if p := line.SharedPrefix; p != nil {
		chat.Messages = append(chat.Messages, chatMessage{Role: "system", Content: text(xxhash.Sum64String(p.ID), p.Tokens)})
		own = max(own-p.Tokens, 1)
	}
	question := text(t.Header.Seed<<32+uint64(source), own)
	if line.CrashesTarget {
		question = CrashText + " " + question
	}
	chat.Messages = append(chat.Messages, chatMessage{Role: "user", Content: question})
	data, err := json.Marshal(chat)
	if err != nil {
		return nil, fmt.Errorf("form body of line %d: %w", index, err)
	}
	return data, nil
}

const letters = "abcdefghijklmnopqrstuvwxyz"

// text returns pseudo-random words of bytesPerToken-1 letters and a space.
func text(seed uint64, tokens int) string {
	random := rand.New(rand.NewPCG(seed, 1))
	var b strings.Builder
	b.Grow(tokens * bytesPerToken)
	for range tokens {
		for range bytesPerToken - 1 {
			b.WriteByte(letters[random.IntN(len(letters))])
		}
		b.WriteByte(' ')
	}
	return b.String()
}
