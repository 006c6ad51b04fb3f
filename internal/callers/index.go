package callers

import (
	"crypto/sha256"
	"encoding/hex"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/request"
)

// index finds the parts of one document by name. It is built once per document.
type index struct {
	doc      *document.Document
	orgs     map[string]*organisation // by hex SHA-256 of the token
	models   map[string]*document.Model
	services map[string]*service
	targets  map[string]*document.Target
}

type organisation struct {
	name        string
	tiers       map[string]request.Tier
	defaultTier string
	models      map[string]bool
	services    map[string]bool
}

type service struct {
	pool       string
	repeatable map[string]bool
}

// indexFor returns the index of the view's document. After a change two goroutines
// may build it concurrently; the results are equal.
func (s *Server) indexFor(view *entry.View) *index {
	if ix := s.index.Load(); ix != nil && ix.doc == view.Document {
		return ix
	}
	ix := newIndex(view.Document)
	s.index.Store(ix)
	return ix
}

func newIndex(doc *document.Document) *index {
	ix := &index{
		doc:      doc,
		orgs:     make(map[string]*organisation),
		models:   make(map[string]*document.Model),
		services: make(map[string]*service),
		targets:  make(map[string]*document.Target),
	}
	for i := range doc.Organisations {
		ix.addOrganisation(&doc.Organisations[i])
	}
	for i := range doc.Models {
		ix.models[doc.Models[i].Name] = &doc.Models[i]
	}
	for i := range doc.Services {
		sv := &doc.Services[i]
		ix.services[sv.Name] = &service{pool: sv.Pool, repeatable: set(sv.Repeatable)}
	}
	for i := range doc.Targets {
		ix.targets[doc.Targets[i].Name] = &doc.Targets[i]
	}
	return ix
}

func (ix *index) addOrganisation(o *document.Organisation) {
	org := &organisation{name: o.Name, tiers: make(map[string]request.Tier), models: set(o.Models), services: set(o.Services)}
	for _, name := range o.Tiers {
		rank, known := ix.doc.TierRank(name)
		if !known {
			continue
		}
		if org.defaultTier == "" {
			org.defaultTier = name
		}
		org.tiers[name] = rank
	}
	for _, hash := range o.KeyHashes {
		ix.orgs[hash] = org
	}
}

func set(names []string) map[string]bool {
	in := make(map[string]bool, len(names))
	for _, name := range names {
		in[name] = true
	}
	return in
}

// organisationOf returns the organisation that a bearer token belongs to, or nil.
// The lookup is by hash, so its duration reveals nothing about the tokens.
func (ix *index) organisationOf(token []byte) *organisation {
	sum := sha256.Sum256(token)
	var hash [2 * sha256.Size]byte
	hex.Encode(hash[:], sum[:])
	return ix.orgs[string(hash[:])]
}
