package targets

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
)

// probeSlots spreads the probes of many targets over the time between two.
const probeSlots = 10

// leavingState is what a target that leaves answers to a readiness probe.
const leavingState = "leaving"

// Watch probes the targets of the document in force until stop is closed. Only
// those that wanted selects are probed; nil: all.
func (t *Targets) Watch(stop <-chan struct{}, view func() *entry.View, wanted func(*document.Target) bool) {
	ticker := time.NewTicker(t.cfg.ProbeEvery / probeSlots)
	defer ticker.Stop()
	for slot := uint64(0); ; slot = (slot + 1) % probeSlots {
		select {
		case <-stop:
			return
		case <-ticker.C:
			t.probeSlot(view().Document, slot, wanted)
		}
	}
}

func (t *Targets) probeSlot(doc *document.Document, slot uint64, wanted func(*document.Target) bool) {
	if doc == nil {
		return
	}
	engines := make(map[string]bool)
	for i := range doc.Classes {
		engines[doc.Classes[i].Name] = doc.Classes[i].Kind == document.KindEngine
	}
	for i := range doc.Targets {
		target := &doc.Targets[i]
		if xxhash.Sum64String(target.Name)%probeSlots != slot || wanted != nil && !wanted(target) {
			continue
		}
		t.Probe(target.Name, target.Address, engines[target.Class])
	}
}

// Probe looks at one target; a TargetState follows. A probe that finds no
// worker is left out, and so is one whose forerunner is still under way.
func (t *Targets) Probe(name, address string, engine bool) {
	if !t.beginProbe(name) {
		return
	}
	err := t.probes.Go(func() {
		defer t.endProbe(name)
		t.outbox.put(t.look(name, address, engine))
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

// readyAnswer and loadAnswer are the targets' forms.
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

// look asks a target for its readiness, and an engine for its load. An engine
// whose load can't be read counts as reachable, with nothing known of its load.
func (t *Targets) look(name, address string, engine bool) entry.TargetState {
	found := entry.TargetState{Target: name}
	status, body, err := t.call(address, fasthttp.MethodGet, "/ready", nil)
	if err != nil {
		return found
	}
	var ready readyAnswer
	_ = json.Unmarshal(body, &ready)
	found.Leaving = ready.State == leavingState
	found.Reachable = status == fasthttp.StatusOK || found.Leaving
	if !engine || !found.Reachable {
		return found
	}
	status, body, err = t.call(address, fasthttp.MethodGet, "/load", nil)
	var load loadAnswer
	if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &load) != nil {
		return found
	}
	found.Running, found.Waiting, found.CachedTokens = load.Running, load.Waiting, load.KVTokens
	found.Model, found.Version, found.Adapters = load.Model, load.Version, load.Adapters
	return found
}
