package callers

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/inflight"
)

// endEvent is the data of the event that ends a streamed answer.
type endEvent struct {
	Outcome  outcome.Outcome `json:"outcome"`
	Reason   outcome.Reason  `json:"reason"`
	Chunks   int             `json:"chunks"`
	Checksum string          `json:"checksum"`
	Detail   string          `json:"detail,omitempty"`
}

func endEventData(end *inflight.End) []byte {
	data, err := json.Marshal(endEvent{
		Outcome: end.Status.Outcome, Reason: end.Status.Reason, Chunks: end.Chunks,
		Checksum: checksumText(end.Checksum), Detail: end.Status.Detail,
	})
	if err != nil {
		return nil
	}
	return data
}

func checksumText(sum uint64) string { return fmt.Sprintf("%016x", sum) }

func checksum(data []byte) uint64 { return xxhash.Sum64(data) }

// chunkJSON holds the fields of a streamed chunk that a complete answer needs.
type chunkJSON struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choiceJSON    `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type choiceJSON struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *contentJSON `json:"delta,omitempty"`
	Message      *contentJSON `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type contentJSON struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// assemble builds a complete answer from the chunks of a stream, for a caller that
// asked for a complete answer when the answer had to be read as a stream.
func assemble(chunks [][]byte) []byte {
	answer := chunkJSON{}
	texts := make(map[int]*strings.Builder)
	choices := make(map[int]*choiceJSON)
	for _, chunk := range chunks {
		var c chunkJSON
		if json.Unmarshal(chunk, &c) != nil {
			continue
		}
		if answer.ID == "" {
			answer.ID, answer.Object, answer.Created, answer.Model = c.ID, c.Object, c.Created, c.Model
		}
		if len(c.Usage) > 0 && string(c.Usage) != "null" {
			answer.Usage = c.Usage
		}
		for i := range c.Choices {
			addChoice(&c.Choices[i], choices, texts)
		}
	}
	answer.Object = strings.TrimSuffix(answer.Object, ".chunk")
	answer.Choices = finishChoices(choices, texts)
	body, err := json.Marshal(answer)
	if err != nil {
		return nil
	}
	return body
}

func addChoice(c *choiceJSON, choices map[int]*choiceJSON, texts map[int]*strings.Builder) {
	kept := choices[c.Index]
	if kept == nil {
		kept = &choiceJSON{Index: c.Index}
		choices[c.Index] = kept
		texts[c.Index] = &strings.Builder{}
	}
	if c.FinishReason != nil {
		kept.FinishReason = c.FinishReason
	}
	if c.Text != nil {
		kept.Text = c.Text
		texts[c.Index].WriteString(*c.Text)
	}
	if c.Delta != nil {
		if kept.Message == nil {
			kept.Message = &contentJSON{Role: "assistant"}
		}
		texts[c.Index].WriteString(c.Delta.Content)
	}
}

func finishChoices(choices map[int]*choiceJSON, texts map[int]*strings.Builder) []choiceJSON {
	done := make([]choiceJSON, 0, len(choices))
	for i, c := range choices {
		text := texts[i].String()
		if c.Message != nil {
			c.Message.Content = text
		} else {
			c.Text = &text
		}
		done = append(done, *c)
	}
	sort.Slice(done, func(i, j int) bool { return done[i].Index < done[j].Index })
	return done
}

// numberFrom parses the chunk number of the query's from; it is 0 if absent.
func numberFrom(text []byte) (int, error) {
	if len(text) == 0 {
		return 0, nil
	}
	n, err := strconv.Atoi(string(text))
	if err != nil || n < 0 {
		return 0, fmt.Errorf("from is not a chunk number: %q", text)
	}
	return n, nil
}
