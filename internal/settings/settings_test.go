package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const tokenHash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

const validEntry = `{
  "name": "entry-1", "zone": "ncr-a",
  "callers_address": "127.0.0.1:7000", "peers_address": "127.0.0.1:7001", "operators_address": "127.0.0.1:7002",
  "platform": {"log": ["http://127.0.0.1:9000"], "instances": "http://127.0.0.1:9001"},
  "peers": ["127.0.0.2:7001"],
  "shared_key": "0123456789abcdef0123456789abcdef",
  "operator_token_sha256": "` + tokenHash + `"
}`

func parseEntry(text string) (Entry, error) {
	return parse([]byte(text), DefaultEntry(), (*Entry).check)
}

// paths returns the paths of an error's faults, in order.
func paths(err error) []string {
	var faults Faults
	if !errors.As(err, &faults) {
		return nil
	}
	var found []string
	for _, fault := range faults {
		Expect(fault.Problem).NotTo(BeEmpty(), fault.Path)
		Expect(fault.Remedy).NotTo(BeEmpty(), fault.Path)
		found = append(found, fault.Path)
	}
	return found
}

var _ = ginkgo.Describe("settings of an entry", func() {
	ginkgo.It("accepts a valid file and fills in defaults", func() {
		s, err := parseEntry(validEntry)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Policy).To(Equal("scheduler"))
		Expect(s.LogLevel).To(Equal("info"))
		Expect(s.TLS).To(BeNil())
		Expect(s.Platform.Log).To(Equal([]string{"http://127.0.0.1:9000"}))
	})

	// If only the first fault were reported, each start would show one more, and an
	// entry that replaces another would be unavailable for as many starts as the file
	// has faults.
	ginkgo.It("lists every fault at once", func() {
		_, err := parseEntry(`{"name": "", "zone": "a b", "callers_address": "localhost:1", "peers_address": "0.0.0.0:7001",
			"operators_address": "127.0.0.1:0", "platform": {"log": [], "instances": "nowhere"}, "peers": ["x"],
			"shared_key": "short", "operator_token_sha256": "zz", "log_level": "loud", "policy": "best",
			"tls": {"cert_file": "absent", "key_file": "absent", "ca_file": "absent"}}`)
		Expect(paths(err)).To(Equal([]string{"name", "zone", "callers_address", "peers_address", "operators_address",
			"platform.log", "platform.instances", "peers[0]", "shared_key", "operator_token_sha256",
			"tls.cert_file", "tls.ca_file", "log_level", "policy"}))
	})

	ginkgo.It("lists every unknown field and wrong type", func() {
		_, err := parseEntry(`{"nmae": "x", "name": 3, "platform": {"logs": [], "log": "http://127.0.0.1:1"}, "peers": [1], "tls": null}`)
		Expect(paths(err)).To(Equal([]string{"name", "nmae", "peers[0]", "platform.log", "platform.logs"}))
	})

	ginkgo.It("checks values even if there are unknown fields", func() {
		_, err := parseEntry(strings.Replace(validEntry, `"zone": "ncr-a"`, `"zone": "", "colour": 1`, 1))
		Expect(paths(err)).To(Equal([]string{"colour", "zone"}))
	})

	ginkgo.DescribeTable("rejects a file that is not one JSON object", func(text string) {
		_, err := parseEntry(text)
		Expect(paths(err)).To(Equal([]string{"(file)"}))
	},
		ginkgo.Entry("empty", ""), ginkgo.Entry("a list", "[]"), ginkgo.Entry("truncated object", `{"name":`), ginkgo.Entry("two objects", "{} {}"), ginkgo.Entry("null", "null"))

	ginkgo.It("reads the shared key from a file, and requires exactly one source", func() {
		file := filepath.Join(ginkgo.GinkgoT().TempDir(), "key")
		Expect(os.WriteFile(file, []byte("0123456789abcdef0123456789abcdef\n"), 0o600)).To(Succeed())
		given := `"shared_key": "0123456789abcdef0123456789abcdef"`
		s, err := parseEntry(strings.Replace(validEntry, given, `"shared_key_file": "`+file+`"`, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.SharedKey).To(Equal("0123456789abcdef0123456789abcdef"))

		_, err = parseEntry(strings.Replace(validEntry, given, given+`, "shared_key_file": "`+file+`"`, 1))
		Expect(paths(err)).To(Equal([]string{"shared_key"}))
		_, err = parseEntry(strings.Replace(validEntry, given, `"shared_key_file": "/absent"`, 1))
		Expect(paths(err)).To(Equal([]string{"shared_key_file"}))
	})

	ginkgo.It("names the file that cannot be read", func() {
		_, err := LoadEntry(filepath.Join(ginkgo.GinkgoT().TempDir(), "absent.json"))
		Expect(err).To(MatchError(ErrRead))
		Expect(err.Error()).To(ContainSubstring("absent.json"))
	})

	ginkgo.It("rejects two listeners on one address", func() {
		_, err := parseEntry(strings.ReplaceAll(validEntry, "127.0.0.1:7002", "127.0.0.1:7000"))
		Expect(paths(err)).To(Equal([]string{"operators_address"}))
	})
})

var _ = ginkgo.Describe("settings of the operators' programs", func() {
	ginkgo.It("checks those of the console", func() {
		_, err := parse([]byte(`{"operator_token_sha256": "1"}`), DefaultConsole(), (*Console).check)
		Expect(paths(err)).To(Equal([]string{"entries", "operator_token_sha256", "log"}))
	})

	ginkgo.It("checks those of sycamorectl", func() {
		_, err := parse([]byte(`{"entries": ["127.0.0.1:7002"], "timeout_ms": 0}`), DefaultCtl(), (*Ctl).check)
		Expect(paths(err)).To(Equal([]string{"token", "timeout_ms"}))
	})
})
