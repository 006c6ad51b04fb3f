package engine

import (
	"bufio"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/standin/base"
	"sycamoretrail/internal/standin/enginemodel"
)

// stream is one run of a request. The first group of fields is immutable; the
// others are guarded by the server's mutex.
type stream struct {
	id       string // X-Request-Id
	job      string // id in the model; a request that is sent twice is two jobs
	seed     uint64 // selects the words of the answer
	chat     bool
	model    string
	created  int64 // Unix seconds
	max      int   // tokens
	ticket   base.Ticket
	crashing bool // the first token crashes the engine

	tokens  int
	usage   enginemodel.Usage
	done    bool // all tokens are generated
	aborted bool // cancelled or lost in a crash
	endedAt time.Time
	changed chan struct{} // closed and replaced on each change
}

// view is a snapshot of the state of a stream for a reader.
type view struct {
	tokens  int
	usage   enginemodel.Usage
	done    bool
	aborted bool
	changed <-chan struct{}
}

func (st *stream) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

var words = strings.Fields(`rack slot gate train line label fold glue crease panel
	station ride lock key north south early late open free left right press proof`)

// seedOf returns a hash of request id and body. Answers depend on nothing else,
// so that all engines return the same answer and tests can attribute an answer
// to its request.
func seedOf(id string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(id)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// TokenText returns the text of a token. The first token is the request id, the
// others are words selected by a hash of id, body and index.
func TokenText(id string, body []byte, index int) string {
	return tokenText(id, seedOf(id, body), index)
}

func tokenText(id string, seed uint64, index int) string {
	if index == 0 {
		return id
	}
	// The SplitMix64 finalizer decorrelates consecutive indexes.
	x := seed + uint64(index)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return " " + words[(x^x>>31)%uint64(len(words))]
}

func (st *stream) text(index int) string { return tokenText(st.id, st.seed, index) }

type usageJSON struct {
	PromptTokens     int         `json:"prompt_tokens"`
	CompletionTokens int         `json:"completion_tokens"`
	TotalTokens      int         `json:"total_tokens"`
	Details          detailsJSON `json:"prompt_tokens_details"`
}

type detailsJSON struct {
	CachedTokens int `json:"cached_tokens"`
}

type messageJSON struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choiceJSON struct {
	Index        int          `json:"index"`
	Delta        *messageJSON `json:"delta,omitempty"`
	Message      *messageJSON `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type completionJSON struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceJSON `json:"choices"`
	Usage   *usageJSON   `json:"usage,omitempty"`
}

const (
	roleAssistant = "assistant"
	dataPrefix    = "data: "
	eventEnd      = "\n\n"
	doneEvent     = "data: [DONE]\n\n"
)

// finishLength is the finish reason of every answer, since every answer ends at
// max_tokens.
var finishLength = "length"

func (st *stream) completion(object string) completionJSON {
	return completionJSON{ID: st.id, Object: object, Created: st.created, Model: st.model, Choices: []choiceJSON{}}
}

func (st *stream) object(complete bool) string {
	switch {
	case !st.chat:
		return "text_completion"
	case complete:
		return "chat.completion"
	default:
		return "chat.completion.chunk"
	}
}

// fullAnswer returns the complete answer for a request without streaming.
func (st *stream) fullAnswer(usage enginemodel.Usage) completionJSON {
	var text strings.Builder
	for i := range st.max {
		text.WriteString(st.text(i))
	}
	content := text.String()
	choice := choiceJSON{FinishReason: &finishLength}
	if st.chat {
		choice.Message = &messageJSON{Role: roleAssistant, Content: content}
	} else {
		choice.Text = &content
	}
	answer := st.completion(st.object(true))
	answer.Choices = append(answer.Choices, choice)
	answer.Usage = usageOf(usage)
	return answer
}

func (st *stream) writeToken(w *bufio.Writer, index int) error {
	text := st.text(index)
	choice := choiceJSON{}
	if st.chat {
		choice.Delta = &messageJSON{Content: text}
		if index == 0 {
			choice.Delta.Role = roleAssistant
		}
	} else {
		choice.Text = &text
	}
	if index == st.max-1 {
		choice.FinishReason = &finishLength
	}
	event := st.completion(st.object(false))
	event.Choices = append(event.Choices, choice)
	_, _ = w.WriteString("id: " + strconv.Itoa(index) + "\n")
	return writeData(w, event)
}

// writeEnd writes the event with the usage, and the end marker.
func (st *stream) writeEnd(w *bufio.Writer, usage enginemodel.Usage) error {
	event := st.completion(st.object(false))
	event.Usage = usageOf(usage)
	if err := writeData(w, event); err != nil {
		return err
	}
	_, err := w.WriteString(doneEvent)
	return err
}

func writeData(w *bufio.Writer, event completionJSON) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, _ = w.WriteString(dataPrefix)
	_, _ = w.Write(data)
	_, err = w.WriteString(eventEnd)
	return err
}

func usageOf(u enginemodel.Usage) *usageJSON {
	return &usageJSON{
		PromptTokens:     u.Prompt,
		CompletionTokens: u.Tokens,
		TotalTokens:      u.Prompt + u.Tokens,
		Details:          detailsJSON{CachedTokens: u.Cached},
	}
}
