package targets

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
)

// probeBatches is the number of batches over which the probes of all targets are spread
// within ProbeEvery.
const probeBatches = 10

// leavingState is the state with which a departing target answers a readiness probe.
const leavingState = "leaving"

// Watch probes the targets of the document in force until stop is closed. Only the
// targets for which selected returns true are probed; nil selects all.
func (t *Targets) Watch(stop <-chan struct{}, view func() *entry.View, selected func(*document.Target) bool) {
	ticker := time.NewTicker(t.cfg.ProbeEvery / probeBatches)
	defer ticker.Stop()
	for batch := uint64(0); ; batch = (batch + 1) % probeBatches {
		select {
		case <-stop:
			return
		case <-ticker.C:
			t.probeBatch(view().Document, batch, selected)
		}
	}
}

func (t *Targets) probeBatch(doc *document.Document, batch uint64, selected func(*document.Target) bool) {
	if doc == nil {
		return
	}
	engines := make(map[string]bool)
	for i := range doc.Classes {
		engines[doc.Classes[i].Name] = doc.Classes[i].Kind == document.KindEngine
	}
	for i := range doc.Targets {
		target := &doc.Targets[i]
		if xxhash.Sum64String(target.Name)%probeBatches != batch || selected != nil && !selected(target) {
			continue
		}
		t.Probe(target.Name, target.Address, engines[target.Class])
	}
}

// Probe probes one target and reports the result by a TargetState. It is skipped if no
// worker is free, or if the previous probe of the target has not ended.
func (t *Targets) Probe(name, address string, engine bool) {
	if !t.beginProbe(name) {
		return
	}
	err := t.probes.Go(func() {
		defer t.endProbe(name)
		t.outbox.put(t.requestState(name, address, engine))
	})
	if err != nil {
		t.endProbe(name)
	}
}

func (t *Targets) beginProbe(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.probing[name] {
		return false
	}
	t.probing[name] = true
	return true
}

func (t *Targets) endProbe(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.probing, name)
}

// readyAnswer and loadAnswer are the bodies with which targets answer probes.
type readyAnswer struct {
	State string `json:"state"`
}

type loadAnswer struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	KVTokens int      `json:"kv_tokens"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// requestState requests the readiness of a target, and the load of an engine. An engine whose load
// can't be read counts as reachable, with unknown load.
func (t *Targets) requestState(name, address string, engine bool) entry.TargetState {
	state := entry.TargetState{Target: name}
	status, body, err := t.call(address, fasthttp.MethodGet, "/ready", nil)
	if err != nil {
		return state
	}
	var ready readyAnswer
	_ = json.Unmarshal(body, &ready)
	state.Leaving = ready.State == leavingState
	state.Reachable = status == fasthttp.StatusOK || state.Leaving
	if !engine || !state.Reachable {
		return state
	}
	status, body, err = t.call(address, fasthttp.MethodGet, "/load", nil)
	var load loadAnswer
	if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &load) != nil {
		return state
	}
	state.Running, state.Waiting, state.CachedTokens = load.Running, load.Waiting, load.KVTokens
	state.Model, state.Version, state.Adapters = load.Model, load.Version, load.Adapters
	return state
}
