package faults

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/settings"
	"sycamoretrail/internal/standin/base"
	standins "sycamoretrail/internal/standin/settings"
)

// Names of the platform's stand-ins.
const (
	logStandin  = "log"
	listStandin = "instances"
)

const (
	// statusTimeout limits a status request to an entry, which may be paused.
	statusTimeout = 500 * time.Millisecond
	// orderTimeout limits an order to a stand-in.
	orderTimeout = 2 * time.Second
)

// instance is one entry of the deployment.
type instance struct {
	name string
	// callers and operators are addresses. pidFile and exitFile are written by the
	// script: the process id, and the exit code once the process has ended.
	callers, operators, pidFile, exitFile string
}

// Stage is a running deployment.
type Stage struct {
	document *document.Document
	tokens   map[string]string
	entries  []instance
	// admins are the admin addresses of the stand-ins by name, addresses those of
	// their service.
	admins, addresses map[string]string
	// watcher has a short timeout, publisher that of operators' tools.
	watcher, publisher *operatorclient.Client
	http               *fasthttp.Client
}

// Open reads the settings of a deployment that scripts/faults.sh started.
func Open(dir string, doc *document.Document, tokens map[string]string) (*Stage, error) {
	s := &Stage{
		document: doc, tokens: tokens, admins: map[string]string{}, addresses: map[string]string{},
		http: &fasthttp.Client{
			Name: "sycamore-replay", ReadTimeout: orderTimeout, WriteTimeout: orderTimeout, ConfigureClient: answerhead.Configure,
		},
	}
	ctl, err := settings.LoadCtl(filepath.Join(dir, "ctl.json"))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStage, err)
	}
	s.watcher = operatorclient.New(operatorclient.Options{Entries: ctl.Entries, Token: ctl.Token, Timeout: statusTimeout})
	s.publisher = operatorclient.New(operatorclient.Options{Entries: ctl.Entries, Token: ctl.Token})
	if err := s.readEntries(dir, len(ctl.Entries)); err != nil {
		return nil, err
	}
	return s, s.readStandins(filepath.Join(dir, "standin.json"))
}

func (s *Stage) readEntries(dir string, count int) error {
	for i := range count {
		base := filepath.Join(dir, "entry-"+strconv.Itoa(i+1))
		e, err := settings.LoadEntry(base + ".json")
		if err != nil {
			return fmt.Errorf("%w: %w", ErrStage, err)
		}
		s.entries = append(s.entries, instance{
			name: e.Name, callers: e.CallersAddress, operators: e.OperatorsAddress,
			pidFile: base + ".pid", exitFile: base + ".exit",
		})
	}
	return nil
}

func (s *Stage) readStandins(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStage, err)
	}
	file, err := standins.Parse(data)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStage, err)
	}
	for _, one := range file.StandIns {
		s.admins[one.Name] = one.AdminAddress
		s.addresses[one.Name] = one.Address
	}
	return nil
}

// signal sends a signal to an entry's process, by the id that the script wrote.
func (s *Stage) signal(e *instance, signal syscall.Signal) error {
	pid, err := readNumber(e.pidFile)
	if err != nil {
		return err
	}
	if err := syscall.Kill(pid, signal); err != nil {
		return fmt.Errorf("%w: signal %s: %w", ErrStage, e.name, err)
	}
	return nil
}

// exitCode returns the exit code of an entry's process, and false before it ends.
func (s *Stage) exitCode(e *instance) (int, bool) {
	code, err := readNumber(e.exitFile)
	return code, err == nil
}

func readNumber(path string) (int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrStage, err)
	}
	number, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrStage, path, err)
	}
	return number, nil
}

// order sends a fault order to a stand-in and returns the faults in force there.
func (s *Stage) order(standin, order string) (base.Faults, error) {
	var faults base.Faults
	err := s.call(fasthttp.MethodPost, s.admins[standin], "/admin/fault", []byte(order), &faults)
	return faults, err
}

// ledger reads the ledger of a target.
func (s *Stage) ledger(standin string) (base.LedgerReport, error) {
	var ledger base.LedgerReport
	err := s.call(fasthttp.MethodGet, s.admins[standin], "/admin/ledger", nil, &ledger)
	return ledger, err
}

// list changes a target's row in the platform's instance list.
func (s *Stage) list(row standinRow) error {
	data, err := json.Marshal(row)
	if err != nil {
		return err
	}
	return s.call(fasthttp.MethodPut, s.addresses[listStandin], "/instances/"+row.Name, data, nil)
}

// standinRow is a row of the instance list.
type standinRow struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	Leaving bool   `json:"leaving"`
}

// call calls a stand-in and decodes its answer unless answer is nil.
func (s *Stage) call(method, address, path string, body []byte, answer any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.SetBodyRaw(body)
	if err := s.http.DoTimeout(req, resp, orderTimeout); err != nil {
		return fmt.Errorf("%w: %s%s: %w", ErrStage, address, path, err)
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return fmt.Errorf("%w: %s%s: status %d: %s", ErrStage, address, path, resp.StatusCode(), resp.Body())
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return fmt.Errorf("%w: %s%s: %w", ErrStage, address, path, err)
	}
	return nil
}

// engines returns the names of the targets in the pool of the first model.
func (s *Stage) engines() []string {
	var names []string
	for i := range s.document.Targets {
		if s.document.Targets[i].Pool == s.document.Models[0].Pool {
			names = append(names, s.document.Targets[i].Name)
		}
	}
	return names
}

// zones returns the zones of the document's targets.
func (s *Stage) zones() []string {
	var zones []string
	for i := range s.document.Targets {
		if zone := s.document.Targets[i].Zone; !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}
