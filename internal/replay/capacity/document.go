// Package capacity measures the resource use of daemons at growing sizes: it
// generates documents of any size, sends streams and calls at a given rate, reads
// the usage of running daemons meanwhile, and fits slopes to the readings.
package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"strconv"

	"sycamoretrail/internal/core/document"
)

// Size is the size of a generated document. All names, addresses and keys in it
// are derived from these numbers, so the same Size gives the same document.
type Size struct {
	// Targets is the number of engines, Services that of targets of a plain service.
	Targets, Services int
	Organisations     int
	// Models is the number of models. Each has its own pool, and the engines are
	// assigned to them round robin.
	Models int
	Zones  int
	// MaxInFlight is the limit of an engine; 0 means 32.
	MaxInFlight int
	// OneGeneration makes all engines of the newer generation. Otherwise every
	// second engine of a pool is of the older one.
	OneGeneration bool
}

// ErrSize is wrapped if a document of the requested size cannot be generated.
var ErrSize = errors.New("no document of this size")

// Names and limits in a generated document.
const (
	ServiceName        = "orders"
	servicePool        = "orders"
	classNewer         = "engine-newer"
	classOlder         = "engine-older"
	classService       = "service"
	defaultMaxInFlight = 32
	// serviceMaxInFlight is the number of concurrent calls of a service's stand-in.
	serviceMaxInFlight = 64
	deadlineMS         = 120_000
)

// Engines listen on ports from firstEnginePort, services on ports from
// firstServicePort. After portsPerAddress engines the next loopback address is
// used.
const (
	firstEnginePort  = 21001
	firstServicePort = 21901
	portsPerAddress  = 800
	servicesMost     = 99
	addressesMost    = 254
)

// tiers are the four tiers that are expected in two years.
var tiers = []document.Tier{
	{Name: "urgent", FirstTokenMS: 850, DeadlineMS: 30_000},
	{Name: "interactive", FirstTokenMS: 1500, DeadlineMS: 60_000},
	{Name: "standard", FirstTokenMS: 0, DeadlineMS: deadlineMS},
	{Name: "batch", FirstTokenMS: 0, DeadlineMS: deadlineMS},
}

// ModelName and OrganisationName return the names of models and organisations,
// numbered from 0.
func ModelName(i int) string        { return fmt.Sprintf("model-%d", i) }
func OrganisationName(i int) string { return fmt.Sprintf("org-%05d", i) }

// Token returns the bearer token of an organisation of a generated document.
func Token(organisation string) string { return "capacity-" + organisation }

// Generate generates a document of the given size with defaults for all other
// settings.
func Generate(id string, size Size) (*document.Document, error) {
	if err := size.check(); err != nil {
		return nil, err
	}
	doc := &document.Document{
		Schema: document.Schema, ID: id, Comment: "generated",
		Tiers:    tiers,
		Limits:   document.DefaultLimits(),
		Refusal:  document.DefaultRefusal(),
		Shutdown: document.DefaultShutdown(),
		Timing:   document.DefaultTiming(),
		Classes:  size.classes(),
		Pools:    []document.Pool{{Name: servicePool}},
		Services: []document.Service{{Name: ServiceName, Pool: servicePool, Repeatable: []string{"GET"}}},
	}
	for i := range size.Models {
		doc.Pools = append(doc.Pools, document.Pool{Name: ModelName(i)})
		doc.Models = append(doc.Models, document.Model{Name: ModelName(i), Pool: ModelName(i), ContextTokens: document.DefaultContextTokens})
	}
	for i := range size.Organisations {
		doc.Organisations = append(doc.Organisations, size.organisation(i))
	}
	doc.Targets = size.targets()
	if faults := doc.Check(); len(faults) > 0 {
		return nil, fmt.Errorf("%w: %v", ErrSize, faults[0])
	}
	return doc, nil
}

func (s Size) check() error {
	if s.Targets < s.Models || s.Models < 1 || s.Zones < 1 || s.Organisations < 1 || s.Services < 1 {
		return fmt.Errorf("%w: at least one of each, and a target for each model", ErrSize)
	}
	if s.Services > servicesMost || s.Targets > portsPerAddress*addressesMost {
		return fmt.Errorf("%w: at most %d services and %d targets", ErrSize, servicesMost, portsPerAddress*addressesMost)
	}
	return nil
}

func (s Size) classes() []document.Class {
	maxInFlight := s.MaxInFlight
	if maxInFlight == 0 {
		maxInFlight = defaultMaxInFlight
	}
	return []document.Class{
		{Name: classNewer, Kind: document.KindEngine, MaxInFlight: maxInFlight, PrefillRate: 8000, StepMS: 14, ChecksFencing: true, ExportsKV: true},
		{Name: classOlder, Kind: document.KindEngine, MaxInFlight: maxInFlight, PrefillRate: 4000, StepMS: 28},
		{Name: classService, Kind: document.KindService, MaxInFlight: serviceMaxInFlight},
	}
}

// organisation returns an organisation with up to two models and, depending on its
// number, one to four tiers.
func (s Size) organisation(i int) document.Organisation {
	name := OrganisationName(i)
	sum := sha256.Sum256([]byte(Token(name)))
	org := document.Organisation{
		Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])},
		Models: []string{ModelName(i % s.Models)}, Services: []string{ServiceName},
		Weight: float64(1 + i%4),
	}
	if s.Models > 1 {
		org.Models = append(org.Models, ModelName((i+1)%s.Models))
	}
	for _, tier := range tiers[:1+i%len(tiers)] {
		org.Tiers = append(org.Tiers, tier.Name)
	}
	return org
}

func (s Size) targets() []document.Target {
	list := make([]document.Target, 0, s.Targets+s.Services)
	for i := range s.Targets {
		class := classNewer
		if i/s.Models%2 == 1 && !s.OneGeneration {
			class = classOlder
		}
		list = append(list, document.Target{
			Name: fmt.Sprintf("engine-%04d", i), Pool: ModelName(i % s.Models), Class: class,
			Zone:    s.zone(i),
			Address: loopback(i/portsPerAddress, firstEnginePort+i%portsPerAddress),
		})
	}
	for i := range s.Services {
		list = append(list, document.Target{
			Name: fmt.Sprintf("%s-%02d", ServiceName, i), Pool: servicePool, Class: classService,
			Zone: s.zone(i), Address: loopback(0, firstServicePort+i),
		})
	}
	return list
}

func (s Size) zone(i int) string { return fmt.Sprintf("zone-%02d", i%s.Zones) }

// loopback returns an address of the loopback network 127/8.
func loopback(host, port int) string {
	return net.JoinHostPort(fmt.Sprintf("127.0.%d.1", host), strconv.Itoa(port))
}
