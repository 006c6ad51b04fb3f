// Package examples makes the documents of the two deployments, for loopback.
// The files beside it are written by ./generate and checked against it.
//
// The bearer token of an organisation is "<deployment>-<organisation>-token",
// such as "tanglaw-riders-token". Anybody can form these; they are for examples
// and tests only.
package examples

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"sycamoretrail/internal/core/document"
)

// Names of the files.
const (
	TanglawFile   = "tanglaw.json"
	QuebrachoFile = "quebracho.json"
)

// All returns each example by the name of its file.
func All() map[string]*document.Document {
	return map[string]*document.Document{TanglawFile: Tanglaw(), QuebrachoFile: Quebracho()}
}

// Token is the bearer token of an organisation.
func Token(deployment, organisation string) string {
	return deployment + "-" + organisation + "-token"
}

func keyHashes(deployment, organisation string) []string {
	sum := sha256.Sum256([]byte(Token(deployment, organisation)))
	return []string{hex.EncodeToString(sum[:])}
}

// Classes of both deployments: two generations of engine, and services.
const (
	classNew     = "engine-gen2"
	classOld     = "engine-gen1"
	classService = "service"
)

func classes() []document.Class {
	return []document.Class{
		{Name: classNew, Kind: document.KindEngine, MaxInFlight: 16, PrefillRate: 8000, StepMS: 20, ChecksFencing: true, ExportsKV: true},
		{Name: classOld, Kind: document.KindEngine, MaxInFlight: 12, PrefillRate: 3000, StepMS: 28},
		{Name: classService, Kind: document.KindService, MaxInFlight: 16},
	}
}

// site says where the targets of one pool are.
type site struct {
	pool      string
	zones     []string
	firstPort int
}

const loopback = "127.0.0.1"

// targets spreads targets over the zones; the class of each comes from classOf.
func (s site) targets(n int, classOf func(int) string) []document.Target {
	out := make([]document.Target, n)
	for i := range out {
		out[i] = document.Target{
			Name:    fmt.Sprintf("%s-%02d", s.pool, i+1),
			Pool:    s.pool,
			Class:   classOf(i),
			Zone:    s.zones[i%len(s.zones)],
			Address: fmt.Sprintf("%s:%d", loopback, s.firstPort+i),
		}
	}
	return out
}

// firstOf gives the first n targets the newer class, the others the older.
func firstOf(n int) func(int) string {
	return func(i int) string {
		if i < n {
			return classNew
		}
		return classOld
	}
}

func always(class string) func(int) string {
	return func(int) string { return class }
}

// rules are those that both deployments share.
func rules() document.Document {
	return document.Document{
		Schema:   document.Schema,
		Classes:  classes(),
		Limits:   document.DefaultLimits(),
		Refusal:  document.DefaultRefusal(),
		Shutdown: document.DefaultShutdown(),
		Timing:   document.DefaultTiming(),
	}
}

// Tanglaw is Tanglaw Park: short, urgent questions in bursts.
func Tanglaw() *document.Document {
	const deployment = "tanglaw"
	zones := []string{"ncr-a", "ncr-b", "ncr-c"}
	d := rules()
	d.ID, d.Comment = "tanglaw-1", "Example: Tanglaw Park"
	d.Tiers = []document.Tier{
		{Name: "rider", FirstTokenMS: 850, DeadlineMS: 4_000},
		{Name: "attendant", FirstTokenMS: 1_500, DeadlineMS: 8_000},
		{Name: "back-office", DeadlineMS: 60_000},
	}
	d.Pools = []document.Pool{{Name: "assistants"}, {Name: "reservations"}}
	d.Models = []document.Model{{Name: "assistant", Pool: "assistants", ContextTokens: 8192}}
	d.Services = []document.Service{{Name: "reservations", Pool: "reservations", Repeatable: []string{"GET", "HEAD"}}}
	d.Targets = append(
		site{pool: "assistants", zones: zones, firstPort: 21001}.targets(10, firstOf(5)),
		site{pool: "reservations", zones: zones, firstPort: 21101}.targets(3, always(classService))...)
	organisation := func(name string, weight float64, tiers ...string) document.Organisation {
		return document.Organisation{
			Name:      name,
			KeyHashes: keyHashes(deployment, name),
			Tiers:     tiers,
			Models:    []string{"assistant"},
			Services:  []string{"reservations"},
			Weight:    weight,
		}
	}
	d.Organisations = []document.Organisation{
		organisation("riders", 6, "rider"),
		organisation("station-north", 4, "attendant", "rider"),
		organisation("station-south", 4, "attendant", "rider"),
		organisation("disputes", 1, "back-office", "attendant"),
		organisation("reports", 1, "back-office"),
	}
	return &d
}

// Quebracho is Quebracho Studio: briefs a hundred times longer than copy.
func Quebracho() *document.Document {
	const deployment = "quebracho"
	zones := []string{"centro-a", "centro-b", "centro-c"}
	d := rules()
	d.ID, d.Comment = "quebracho-1", "Example: Quebracho Studio"
	d.Tiers = []document.Tier{
		{Name: "call", FirstTokenMS: 850, DeadlineMS: 6_000},
		{Name: "review", FirstTokenMS: 10_000, DeadlineMS: 60_000},
		{Name: "batch", DeadlineMS: 120_000},
	}
	d.Pools = []document.Pool{{Name: "studio"}, {Name: "order-desk"}}
	d.Models = []document.Model{
		{Name: "copy", Pool: "studio", ContextTokens: 32_768},
		{Name: "brief", Pool: "studio", ContextTokens: 32_768},
	}
	d.Services = []document.Service{{Name: "order-desk", Pool: "order-desk", Repeatable: []string{"GET", "HEAD"}}}
	d.Targets = append(
		site{pool: "studio", zones: zones, firstPort: 22001}.targets(12, firstOf(6)),
		site{pool: "order-desk", zones: zones, firstPort: 22101}.targets(3, always(classService))...)
	// Long briefs must leave places to the copy suggestions of a call.
	d.Refusal.ShortShare = 0.25
	d.Refusal.PrefillBudget = 65_536
	organisation := func(name string, weight float64, tiers ...string) document.Organisation {
		return document.Organisation{
			Name:      name,
			KeyHashes: keyHashes(deployment, name),
			Tiers:     tiers,
			Models:    []string{"copy", "brief"},
			Services:  []string{"order-desk"},
			Weight:    weight,
		}
	}
	d.Organisations = []document.Organisation{
		organisation("rosario-brands", 6, "review", "call", "batch"),
		organisation("mendoza-wines", 5, "review", "call", "batch"),
		organisation("studio", 2, "call", "review"),
		organisation("labels", 1, "review"),
		organisation("archive", 1, "batch"),
	}
	return &d
}
