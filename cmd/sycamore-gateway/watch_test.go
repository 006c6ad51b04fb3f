package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/settings"
)

const validSettings = `{"name": "entry-1", "zone": "a", "callers_address": "127.0.0.1:1", "directory_address": "127.0.0.1:2",
"ready_address": "127.0.0.1:3", "links_address": "127.0.0.1:4", "store_address": "127.0.0.1:5"}`

func TestLoadListsAllFaults(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(os.WriteFile(path, []byte(validSettings), 0o600)).To(Succeed())
	var f watchedFile
	_, err := f.load(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(f.data)).To(Equal(validSettings))

	g.Expect(os.WriteFile(path, []byte(`{"name": "", "bounds": {"grace_s": 0}, "unknown": 1}`), 0o600)).To(Succeed())
	_, err = f.load(path)
	var faults settings.Faults
	g.Expect(err).To(BeAssignableToTypeOf(faults))
	for _, field := range []string{"name", "zone", "callers_address", "store_address", "bounds.grace_s", "unknown"} {
		g.Expect(err.Error()).To(ContainSubstring(field))
	}
}
