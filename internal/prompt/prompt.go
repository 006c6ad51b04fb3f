// Package prompt parses the body of an OpenAI-compatible request and describes
// its prompt: size in tokens and hashes of its leading blocks. The callers' edge and
// the engine stand-in share it, so that both have the same hash for a prefix.
package prompt

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/request"
)

// BytesPerToken is the estimated number of bytes of text per token.
const BytesPerToken = 4

const blockBytes = request.PrefixBlockTokens * BytesPerToken

// ErrMalformed is wrapped by every error that Parse returns.
var ErrMalformed = errors.New("malformed request body")

// Describe returns the estimated tokens of a text (rounded up) and cumulative
// xxhash64 sums over its complete blocks, shortest prefix first.
func Describe(text string) (tokens int, prefixes []uint64) {
	tokens = (len(text) + BytesPerToken - 1) / BytesPerToken
	digest := xxhash.New()
	for ; len(text) >= blockBytes; text = text[blockBytes:] {
		_, _ = digest.WriteString(text[:blockBytes])
		prefixes = append(prefixes, digest.Sum64())
	}
	return tokens, prefixes
}

// Content is the text of a message's content, which is a string or a list of parts.
// Only the text of the parts is kept.
type Content string

// UnmarshalJSON accepts both shapes.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content is neither text nor a list of parts: %w", err)
	}
	var joined strings.Builder
	for _, part := range parts {
		joined.WriteString(part.Text)
	}
	*c = Content(joined.String())
	return nil
}

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Body holds the fields of a completion request that are used; others are ignored.
type Body struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Prompt    Content   `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Parse decodes a request body.
func Parse(data []byte) (Body, error) {
	var body Body
	if err := json.Unmarshal(data, &body); err != nil {
		return Body{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if body.MaxTokens < 0 {
		return Body{}, fmt.Errorf("%w: max_tokens is negative", ErrMalformed)
	}
	return body, nil
}

// Text returns the text of the prompt: the concatenated contents of the messages, or
// the plain prompt if there are none.
func (b Body) Text() string {
	if len(b.Messages) == 0 {
		return string(b.Prompt)
	}
	var text strings.Builder
	for _, message := range b.Messages {
		text.WriteString(string(message.Content))
	}
	return text.String()
}
