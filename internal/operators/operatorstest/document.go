package operatorstest

import (
	"fmt"
	"strings"

	"sycamoretrail/internal/core/document"
)

// Document returns a valid document with the given number of organisations and
// base 0.
func Document(organisations int) *document.Document {
	d := &document.Document{
		Schema:  document.Schema,
		ID:      "first",
		Comment: "to begin with",
		Tiers: []document.Tier{
			{Name: "rider", FirstTokenMS: 1000, DeadlineMS: 4000},
			{Name: "attendant", FirstTokenMS: 2000, DeadlineMS: 6000},
			{Name: "office", DeadlineMS: 15000},
		},
		Pools:    []document.Pool{{Name: "engines"}, {Name: "desks"}},
		Models:   []document.Model{{Name: "assistant", Pool: "engines", Version: "1", ContextTokens: 40000}},
		Services: []document.Service{{Name: "reservations", Pool: "desks", Repeatable: []string{"GET"}}},
		Classes: []document.Class{
			{Name: "new", Kind: document.KindEngine, MaxInFlight: 16, PrefillRate: 8000, StepMS: 16},
			{Name: "desk", Kind: document.KindService, MaxInFlight: 4},
		},
		Targets: []document.Target{
			{Name: "engine-0", Pool: "engines", Class: "new", Zone: "a", Address: "127.0.0.1:9100"},
			{Name: "engine-1", Pool: "engines", Class: "new", Zone: "b", Address: "127.0.0.1:9101"},
			{Name: "desk-0", Pool: "desks", Class: "desk", Zone: "a", Address: "127.0.0.1:9200"},
		},
		Limits:   document.DefaultLimits(),
		Refusal:  document.DefaultRefusal(),
		Shutdown: document.DefaultShutdown(),
		Timing:   document.DefaultTiming(),
	}
	// Off, so that a form that turns it on changes the document.
	d.Refusal.Early = false
	for i := range organisations {
		d.Organisations = append(d.Organisations, document.Organisation{
			Name:      fmt.Sprintf("org-%05d", i),
			KeyHashes: []string{fmt.Sprintf("%064x", i+1)},
			Tiers:     []string{"rider", "office"},
			Models:    []string{"assistant"},
			Services:  []string{"reservations"},
			Weight:    1,
		})
	}
	return d
}

// Bytes encodes a document. Its types always encode without error.
func Bytes(d *document.Document) []byte {
	data, err := document.Encode(d)
	if err != nil {
		panic(err)
	}
	return data
}

// Edited returns the document in force with the id, the version in force as base
// and the changes made by edit, such as another operator would publish.
func (f *Fake) Edited(id string, edit func(*document.Document)) []byte {
	version, _, data := f.Document()
	d, err := document.Parse(data)
	if err != nil {
		panic(err)
	}
	d.ID, d.Base = id, version
	d.Comment = strings.ReplaceAll(id, "-", " ")
	edit(d)
	return Bytes(d)
}
