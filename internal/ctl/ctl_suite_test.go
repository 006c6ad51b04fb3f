package ctl_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/ctl"
	"sycamoretrail/internal/operators/operatorstest"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

// commandResult holds the exit code and the output of one command line.
type commandResult struct {
	code     int
	out, err string
}

// run executes a command line with empty standard input.
func run(args ...string) commandResult {
	var out, errs bytes.Buffer
	code := ctl.Run("test", args, ctl.Streams{In: strings.NewReader(""), Out: &out, Err: &errs})
	return commandResult{code, out.String(), errs.String()}
}

// write creates a file in the spec's temporary directory and returns its path.
func write(name string, data []byte) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	return path
}

// settingsFor writes a settings file that lists the entries.
func settingsFor(entries ...string) string {
	data, err := json.Marshal(map[string]any{"entries": entries, "token": operatorstest.Token, "timeout_ms": 5000})
	Expect(err).NotTo(HaveOccurred())
	return write("ctl.json", data)
}

// startFake starts the given number of fake entries and stops them after the spec.
func startFake(entries int) *operatorstest.Fake {
	fake, err := operatorstest.Start(entries, operatorstest.Bytes(operatorstest.Document(3)))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(fake.Close)
	return fake
}

// editedFile writes the document in force with a change to a file.
func editedFile(fake *operatorstest.Fake, id string, edit func(*document.Document)) string {
	return write("document.json", fake.Edited(id, edit))
}
