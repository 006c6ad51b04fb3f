package quarantine_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuspects(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "suspects")
}
