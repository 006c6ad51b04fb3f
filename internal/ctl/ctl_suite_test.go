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

// ran is what became of one command line.
type ran struct {
	code     int
	out, err string
}

// run executes a command line with an empty standard input.
func run(args ...string) ran {
	var out, errs bytes.Buffer
	code := ctl.Run("test", args, ctl.Streams{In: strings.NewReader(""), Out: &out, Err: &errs})
	return ran{code, out.String(), errs.String()}
}

// write puts a file into a directory of the test's own and returns its path.
func write(name string, data []byte) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	return path
}

// settingsFor writes a settings file for entries.
func settingsFor(entries ...string) string {
	data, err := json.Marshal(map[string]any{"entries": entries, "token": operatorstest.Token, "timeout_ms": 5000})
	Expect(err).NotTo(HaveOccurred())
	return write("ctl.json", data)
}

// fakeWith starts entries and stops them with the spec.
func fakeWith(entries int) *operatorstest.Fake {
	fake, err := operatorstest.Start(entries, operatorstest.Bytes(operatorstest.Document(3)))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(fake.Close)
	return fake
}

// edited is the document in force with a change, as a file.
func edited(fake *operatorstest.Fake, id string, edit func(*document.Document)) string {
	return write("document.json", fake.Racing(id, edit))
}
