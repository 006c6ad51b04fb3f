// Package trace reads, writes and generates recorded traffic: a JSON-lines file
// with one header line followed by one line for each request. A trace holds
// times, sizes and hashes, never the content of a request.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// FormatVersion is the version of the file format that this build reads.
const FormatVersion = 1

// Errors of reading a trace, each wrapped with the line number.
var (
	ErrMalformed = errors.New("malformed trace")
	ErrVersion   = errors.New("trace has another format version")
)

// Header is the first line of a trace.
type Header struct {
	Format     int    `json:"format"`
	Name       string `json:"name"`
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	// Load is the mean engine demand as a multiple of capacity, or 0 for a trace
	// recorded from real traffic.
	Load     float64 `json:"load,omitempty"`
	Scenario string  `json:"scenario,omitempty"`
	// DurationMS is the time over which requests arrive.
	DurationMS int64 `json:"duration_ms"`
	// Capacity describes how the load factor was computed.
	Capacity string `json:"capacity,omitempty"`
}

// Kind distinguishes requests to model engines from calls to plain services.
type Kind string

const (
	// Engine requests go to /v1/chat/completions.
	Engine Kind = "engine"
	// Service requests go to /v1/services/{service}/{path}.
	Service Kind = "service"
)

// Line is one request.
type Line struct {
	// AtMS is the send time in ms from the start of the trace.
	AtMS         int64  `json:"at_ms"`
	Organisation string `json:"organisation"`
	Tier         string `json:"tier"`
	Kind         Kind   `json:"kind"`
	Model        string `json:"model,omitempty"`
	Service      string `json:"service,omitempty"`
	Method       string `json:"method,omitempty"`
	// Path of a service call, relative to the service's URL.
	Path         string  `json:"path,omitempty"`
	PromptTokens int     `json:"prompt_tokens,omitempty"`
	SharedPrefix *Prefix `json:"shared_prefix,omitempty"`
	MaxTokens    int     `json:"max_tokens,omitempty"`
	DeadlineMS   int64   `json:"deadline_ms,omitempty"`
	FirstTokenMS int64   `json:"first_token_ms,omitempty"`
	Idempotent   bool    `json:"idempotent"`
	// Key is the caller's Idempotency-Key, made unique for each replay.
	Key    string  `json:"key,omitempty"`
	Resend *Resend `json:"resend,omitempty"`
	// CrashesTarget marks a crashing request, which crashes each target that runs it; a
	// fault schedule sets it.
	CrashesTarget bool `json:"poison,omitempty"`
}

// Prefix identifies the leading part of a prompt that requests share.
type Prefix struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Resend marks a line that repeats an earlier one because the caller received no
// answer. AtMS of the line is the earlier line's time plus AfterMS.
type Resend struct {
	// Of is the index of the earlier line, from 0.
	Of      int   `json:"of"`
	AfterMS int64 `json:"after_ms"`
	// SameID means that the caller sends the same request id to another entry.
	// Otherwise it forms a new id, and only the Idempotency-Key links the two.
	SameID bool `json:"same_id"`
}

// Trace is a complete trace in memory, its lines in order of AtMS.
type Trace struct {
	Header Header
	Lines  []Line
}

// Deadline returns the time from sending within which the complete answer must
// arrive, or 0 if the tier's deadline applies.
func (l *Line) Deadline() time.Duration { return time.Duration(l.DeadlineMS) * time.Millisecond }

// FirstToken returns the time from sending within which the first token must
// arrive, or 0 if the line sets none.
func (l *Line) FirstToken() time.Duration { return time.Duration(l.FirstTokenMS) * time.Millisecond }

// At returns the send time from the start of the trace.
func (l *Line) At() time.Duration { return time.Duration(l.AtMS) * time.Millisecond }

// Write writes the trace as JSON lines.
func (t *Trace) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(t.Header); err != nil {
		return fmt.Errorf("write trace header: %w", err)
	}
	for i := range t.Lines {
		if err := encoder.Encode(&t.Lines[i]); err != nil {
			return fmt.Errorf("write trace line %d: %w", i, err)
		}
	}
	return buffered.Flush()
}

// WriteFile writes the trace to a file.
func (t *Trace) WriteFile(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	if err := t.Write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// Read reads and checks a trace.
func Read(r io.Reader) (*Trace, error) {
	decoder := json.NewDecoder(bufio.NewReader(r))
	decoder.DisallowUnknownFields()
	t := &Trace{}
	if err := decoder.Decode(&t.Header); err != nil {
		return nil, fmt.Errorf("%w: header: %v", ErrMalformed, err)
	}
	if t.Header.Format != FormatVersion {
		return nil, fmt.Errorf("%w: %d, want %d", ErrVersion, t.Header.Format, FormatVersion)
	}
	for {
		var line Line
		err := decoder.Decode(&line)
		if errors.Is(err, io.EOF) {
			return t, nil
		}
		if err == nil {
			err = t.check(&line)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: line %d: %v", ErrMalformed, len(t.Lines), err)
		}
		t.Lines = append(t.Lines, line)
	}
}

// ReadFile reads a trace from a file.
func ReadFile(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	defer func() { _ = f.Close() }()
	return Read(f)
}

// check validates the line that follows those read so far.
func (t *Trace) check(line *Line) error {
	if n := len(t.Lines); n > 0 && line.AtMS < t.Lines[n-1].AtMS {
		return errors.New("at_ms is less than that of the previous line")
	}
	if line.Organisation == "" || line.Tier == "" {
		return errors.New("organisation and tier are required")
	}
	if line.Resend != nil && (line.Resend.Of < 0 || line.Resend.Of >= len(t.Lines)) {
		return errors.New("resend.of must name an earlier line")
	}
	switch line.Kind {
	case Engine:
		if line.Model == "" || line.PromptTokens <= 0 || line.MaxTokens <= 0 {
			return errors.New("an engine request requires model, prompt_tokens and max_tokens")
		}
	case Service:
		if line.Service == "" || line.Method == "" {
			return errors.New("a service request requires service and method")
		}
	default:
		return fmt.Errorf("unknown kind %q", line.Kind)
	}
	return nil
}
