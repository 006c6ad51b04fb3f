// Package settings reads the settings file of sycamore-standin and starts the
// stand-ins that it lists.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/standin/base"
	"sycamoretrail/internal/standin/engine"
	"sycamoretrail/internal/standin/instances"
	"sycamoretrail/internal/standin/logservice"
	"sycamoretrail/internal/standin/service"
	"sycamoretrail/internal/standin/weights"
)

// ErrSettings is wrapped by every error about the contents of a file.
var ErrSettings = errors.New("invalid settings")

// Kinds of stand-ins.
const (
	KindEngine    = "engine"
	KindService   = "service"
	KindLog       = "log"
	KindInstances = "instances"
	KindWeights   = "weights"
)

// anyPort lets the system choose a port. It may be used more than once in a file.
const anyPort = "0"

// File is the content of a settings file.
type File struct {
	StandIns []StandIn `json:"standins"`
}

// StandIn describes one stand-in. Params holds the Params of the package of its
// kind.
type StandIn struct {
	Kind         string          `json:"kind"`
	Name         string          `json:"name"`
	Address      string          `json:"address"`
	AdminAddress string          `json:"admin_address"`
	Params       json.RawMessage `json:"params"`

	start func(address string, common base.Common) (Running, error)
}

// Running is a started stand-in.
type Running interface {
	Address() string
	AdminAddress() string
	Close() error
}

// Parse decodes and validates a file. The returned error lists all problems.
func Parse(data []byte) (File, error) {
	var file File
	if err := base.DecodeStrict(data, &file); err != nil {
		return File{}, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	if err := file.check(); err != nil {
		return File{}, fmt.Errorf("%w:\n%w", ErrSettings, err)
	}
	return file, nil
}

func (f *File) check() error {
	var errs []error
	if len(f.StandIns) == 0 {
		errs = append(errs, errors.New("no standins"))
	}
	names := make(map[string]bool)
	addresses := make(map[string]bool)
	for i := range f.StandIns {
		s := &f.StandIns[i]
		where := fmt.Sprintf("standins[%d] %q", i, s.Name)
		fail := func(err error) { errs = append(errs, fmt.Errorf("%s: %w", where, err)) }
		if s.Name == "" || names[s.Name] {
			fail(errors.New("name is empty or not unique"))
		}
		names[s.Name] = true
		for _, address := range []string{s.Address, s.AdminAddress} {
			_, port, err := net.SplitHostPort(address)
			if err != nil {
				fail(fmt.Errorf("address %q: %w", address, err))
			} else if addresses[address] && port != anyPort {
				fail(fmt.Errorf("address %q is used twice", address))
			}
			addresses[address] = true
		}
		if err := s.prepare(); err != nil {
			fail(err)
		}
	}
	return errors.Join(errs...)
}

// prepare decodes and validates the parameters according to the kind.
func (s *StandIn) prepare() error {
	switch s.Kind {
	case KindEngine:
		return prepare(s, func(p *engine.Params) *base.Common { return &p.Common }, engine.Start)
	case KindService:
		return prepare(s, func(p *service.Params) *base.Common { return &p.Common }, service.Start)
	case KindLog:
		return prepare(s, func(p *logservice.Params) *base.Common { return &p.Common }, logservice.Start)
	case KindInstances:
		return prepare(s, func(p *instances.Params) *base.Common { return &p.Common }, instances.Start)
	case KindWeights:
		return prepare(s, func(p *weights.Params) *base.Common { return &p.Common }, weights.Start)
	default:
		return fmt.Errorf("unknown kind %q", s.Kind)
	}
}

type validator interface{ Validate() error }

func prepare[P validator, S Running](
	s *StandIn,
	commonOf func(*P) *base.Common,
	start func(string, P) (S, error),
) error {
	var params P
	if len(s.Params) > 0 {
		if err := base.DecodeStrict(s.Params, &params); err != nil {
			return fmt.Errorf("params: %w", err)
		}
	}
	s.start = func(address string, common base.Common) (Running, error) {
		target := commonOf(&params)
		target.AdminAddress = common.AdminAddress
		target.Log = common.Log
		return start(address, params)
	}
	return params.Validate()
}

// Only returns a file with only the named stand-in.
func (f File) Only(name string) (File, error) {
	for _, s := range f.StandIns {
		if s.Name == name {
			return File{StandIns: []StandIn{s}}, nil
		}
	}
	return File{}, fmt.Errorf("%w: no stand-in named %q", ErrSettings, name)
}

// Start starts all stand-ins of the file. If one fails to start, the others are
// closed.
func (f File) Start(log *logrus.Logger) ([]Running, error) {
	var all []Running
	for _, s := range f.StandIns {
		entry := log.WithFields(logrus.Fields{"standin": s.Name, "kind": s.Kind})
		running, err := s.start(s.Address, base.Common{AdminAddress: s.AdminAddress, Log: entry})
		if err != nil {
			return nil, errors.Join(fmt.Errorf("start %s: %w", s.Name, err), CloseAll(all))
		}
		all = append(all, running)
	}
	return all, nil
}

// CloseAll closes all given stand-ins and joins the errors.
func CloseAll(all []Running) error {
	var errs []error
	for _, running := range all {
		errs = append(errs, running.Close())
	}
	return errors.Join(errs...)
}
