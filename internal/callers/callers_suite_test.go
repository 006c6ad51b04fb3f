package callers_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callers")
}
