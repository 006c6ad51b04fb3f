package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/platform/platformtest"
)

var program = platformtest.NewProgram("sycamoretrail/cmd/sycamore-gateway")

func TestMain(m *testing.M) { os.Exit(program.RunTests(m)) }

// process is a gateway that runs as a program.
type process struct {
	*exec.Cmd
	callers, ready string
	ended          chan error
}

// startProcess starts the program with a store's address; it is killed after the test.
func startProcess(t *testing.T, store string) *process { return startNamed(t, "entry-1", store) }

func startNamed(t *testing.T, name, store string) *process {
	g := NewWithT(t)
	path, err := program.Path()
	g.Expect(err).NotTo(HaveOccurred())
	p := &process{ended: make(chan error, 1)}
	var directory, links string
	for _, address := range []*string{&p.callers, &directory, &p.ready, &links} {
		*address, err = platformtest.FreeAddress()
		g.Expect(err).NotTo(HaveOccurred())
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	content := fmt.Sprintf(`{"name": %q, "zone": "a", "callers_address": %q, "directory_address": %q, "ready_address": %q, "links_address": %q, "store_address": %q}`, name, p.callers, directory, p.ready, links, store)
	g.Expect(os.WriteFile(file, []byte(content), 0o600)).To(Succeed())
	p.Cmd = exec.Command(path, "run", "--settings", file)
	g.Expect(p.Start()).To(Succeed())
	go func() {
		p.ended <- p.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.Process.Kill()
		<-p.ended
	})
	return p
}

// Guards against a process being ended by SIGHUP, which only asks it to read its settings, because it
// has just been started.
func TestHangupRightAfterStart(t *testing.T) {
	g := NewWithT(t)
	store, err := platformtest.FreeAddress()
	g.Expect(err).NotTo(HaveOccurred())
	process := startProcess(t, store)
	g.Expect(process.Process.Signal(syscall.SIGHUP)).To(Succeed())
	g.Consistently(process.ended, 500*time.Millisecond).ShouldNot(Receive())
}

// Guards against the same from the moment on at which the program runs, before any of its packages does.
func TestHangupBeforeMain(t *testing.T) {
	for range 10 {
		g := NewWithT(t)
		store, err := platformtest.FreeAddress()
		g.Expect(err).NotTo(HaveOccurred())
		process := startProcess(t, store)
		g.Eventually(process.handlesSignals, time.Second, 50*time.Microsecond).Should(BeTrue())
		g.Expect(process.Process.Signal(syscall.SIGHUP)).To(Succeed())
		g.Consistently(process.ended, 200*time.Millisecond).ShouldNot(Receive())
	}
}

// handlesSignals reports whether the process handles any signal, as the Go runtime does once it runs.
func (p *process) handlesSignals() bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		if caught, found := strings.CutPrefix(line, "SigCgt:"); found {
			return strings.Trim(caught, "\t\n0") != ""
		}
	}
	return false
}
