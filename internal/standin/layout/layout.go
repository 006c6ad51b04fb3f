// Package layout generates the settings files that run the deployment described
// by a document on loopback: one file for all stand-ins, one for each entry, one
// for the operators' client and one for the console.
package layout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strconv"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/settings"
	"sycamoretrail/internal/standin/engine"
	"sycamoretrail/internal/standin/instances"
	"sycamoretrail/internal/standin/logservice"
	"sycamoretrail/internal/standin/service"
	standins "sycamoretrail/internal/standin/settings"
	"sycamoretrail/internal/standin/weights"
)

// Ports on loopback. The admin path of a stand-in is at its port plus adminOffset.
const (
	host            = "127.0.0.1"
	logPort         = 20001
	instancesPort   = 20002
	weightsPort     = 20003
	callersPort     = 24001
	peersPort       = 24101
	operatorsPort   = 24201
	consolePort     = 24301
	adminOffset     = 10000
	portsPerSection = 100
)

// OperatorToken is the operator token of every loopback deployment.
const OperatorToken = "loopback-operator-token"

// sharedKey is the key shared by the peers of every loopback deployment.
const sharedKey = "loopback-only-shared-key-0123456789abcdef"

// fastPrefill is the prefill rate of a class, in tokens per second, from which on
// its engines are of the newer generation.
const fastPrefill = 6000

// ErrLayout is wrapped by every error of this package.
var ErrLayout = errors.New("cannot generate the settings files")

// Options configures the generated files.
type Options struct {
	Document *document.Document
	Entries  int
	// Policy is the policy of the entries. If it is empty, the default applies.
	Policy string
	// TraceDir is the directory in which entries record their traffic. If it is
	// empty, traffic is not recorded.
	TraceDir string
	// EngineStepMS is the base duration of an engine step. If it is 0, the
	// duration of the engine's generation applies.
	EngineStepMS float64
}

// Write writes the settings files to a directory: standin.json, entry-N.json,
// ctl.json and console.json.
func Write(dir string, o Options) error {
	if o.Entries < 1 || o.Entries > portsPerSection {
		return fmt.Errorf("%w: entries must be 1 to %d, not %d", ErrLayout, portsPerSection, o.Entries)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("%w: %w", ErrLayout, err)
	}
	files, err := o.files()
	if err != nil {
		return err
	}
	for name, content := range files {
		if err := writeJSON(filepath.Join(dir, name), content); err != nil {
			return err
		}
	}
	return nil
}

func (o Options) files() (map[string]any, error) {
	standIns, err := o.standins()
	if err != nil {
		return nil, err
	}
	files := map[string]any{"standin.json": standIns, "ctl.json": o.ctl(), "console.json": o.console()}
	for i := range o.Entries {
		files[fmt.Sprintf("entry-%d.json", i+1)] = o.entry(i)
	}
	return files, nil
}

func (o Options) standins() (standins.File, error) {
	var file standins.File
	var fault error
	add := func(kind, name, address string, params any) {
		data, err := json.Marshal(params)
		fault = errors.Join(fault, err)
		admin, err := adminAddress(address)
		fault = errors.Join(fault, err)
		file.StandIns = append(file.StandIns, standins.StandIn{
			Kind: kind, Name: name, Address: address, AdminAddress: admin, Params: data,
		})
	}
	add(standins.KindLog, "log", loopbackAddress(logPort), logservice.Params{})
	add(standins.KindInstances, "instances", loopbackAddress(instancesPort), instances.Params{Instances: o.rows()})
	add(standins.KindWeights, "weights", loopbackAddress(weightsPort), weights.Params{})
	index := document.NewIndex(o.Document)
	for i := range o.Document.Targets {
		t := &o.Document.Targets[i]
		class, known := index.ClassOf(t.Name)
		if !known {
			return file, fmt.Errorf("%w: target %s has no class", ErrLayout, t.Name)
		}
		if class.Kind == document.KindService {
			add(standins.KindService, t.Name, t.Address, service.Params{})
			continue
		}
		params := engineParams(index, t, class)
		params.StepBaseMS = o.EngineStepMS
		add(standins.KindEngine, t.Name, t.Address, params)
	}
	if fault != nil {
		return file, fmt.Errorf("%w: %w", ErrLayout, fault)
	}
	return file, nil
}

// engineParams returns parameters with the generation of the class. In a pool
// with one model, the engine starts with that model loaded. In other pools it
// serves any model.
func engineParams(index *document.Index, t *document.Target, class *document.Class) engine.Params {
	params := engine.Params{Generation: engine.GenerationOlder, WeightsAddress: loopbackAddress(weightsPort)}
	if class.PrefillRate >= fastPrefill {
		params.Generation = engine.GenerationNewer
	}
	params.Faults.CheckFencing = class.ChecksFencing
	if models := index.Models(t.Pool); len(models) == 1 {
		params.Model = models[0].Name
		params.Version = models[0].Version
		params.Adapters = models[0].Adapters
	}
	return params
}

// rows returns the instance list of all targets and entries.
func (o Options) rows() []instances.Row {
	var rows []instances.Row
	for _, t := range o.Document.Targets {
		rows = append(rows, instances.Row{Name: t.Name, Address: t.Address, Zone: t.Zone, Role: instances.RoleTarget})
	}
	zones := o.zones()
	for i := range o.Entries {
		rows = append(rows, instances.Row{
			Name: entryName(i), Address: loopbackAddress(peersPort + i), Zone: zones[i%len(zones)], Role: instances.RoleEntry,
		})
	}
	return rows
}

func (o Options) zones() []string {
	seen := make(map[string]bool)
	var zones []string
	for _, t := range o.Document.Targets {
		if !seen[t.Zone] {
			seen[t.Zone] = true
			zones = append(zones, t.Zone)
		}
	}
	sort.Strings(zones)
	if len(zones) == 0 {
		return []string{"zone"}
	}
	return zones
}

func (o Options) entry(i int) settings.Entry {
	zones := o.zones()
	e := settings.DefaultEntry()
	e.Name = entryName(i)
	e.Zone = zones[i%len(zones)]
	e.CallersAddress = loopbackAddress(callersPort + i)
	e.PeersAddress = loopbackAddress(peersPort + i)
	e.OperatorsAddress = loopbackAddress(operatorsPort + i)
	e.Platform = settings.Platform{Log: []string{"http://" + loopbackAddress(logPort)}, Instances: "http://" + loopbackAddress(instancesPort)}
	e.SharedKey = sharedKey
	e.Peers = []string{}
	e.OperatorTokenSHA256 = tokenHash()
	if o.Policy != "" {
		e.Policy = o.Policy
	}
	if o.TraceDir != "" {
		e.TraceFile = filepath.Join(o.TraceDir, e.Name+".jsonl")
	}
	for j := range o.Entries {
		if j != i {
			e.Peers = append(e.Peers, loopbackAddress(peersPort+j))
		}
	}
	return e
}

func (o Options) operatorAddresses() []string {
	addresses := make([]string, o.Entries)
	for i := range addresses {
		addresses[i] = loopbackAddress(operatorsPort + i)
	}
	return addresses
}

func (o Options) ctl() settings.Ctl {
	c := settings.DefaultCtl()
	c.Entries = o.operatorAddresses()
	c.Token = OperatorToken
	return c
}

func (o Options) console() settings.Console {
	c := settings.DefaultConsole()
	c.Address = loopbackAddress(consolePort)
	c.Entries = o.operatorAddresses()
	c.OperatorTokenSHA256 = tokenHash()
	c.Log = []string{"http://" + loopbackAddress(logPort)}
	return c
}

func tokenHash() string {
	sum := sha256.Sum256([]byte(OperatorToken))
	return hex.EncodeToString(sum[:])
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func loopbackAddress(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

func adminAddress(address string) (string, error) {
	name, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", fmt.Errorf("address %q: %w", address, err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return "", fmt.Errorf("port of %q: %w", address, err)
	}
	return net.JoinHostPort(name, strconv.Itoa(number+adminOffset)), nil
}

func writeJSON(path string, content any) error {
	data, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLayout, err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("%w: %w", ErrLayout, err)
	}
	return nil
}
