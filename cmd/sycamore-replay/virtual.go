package main

import (
	"errors"

	"github.com/spf13/pflag"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

type virtualFlags struct{}

func (v *virtualFlags) register(*pflag.FlagSet) {}

func (f *runFlags) runVirtual(*trace.Trace, *document.Document) (report.Input, error) {
	return report.Input{}, errors.New("virtual mode is not built yet")
}
