package settings

import (
	"fmt"
	"strings"
)

// Fault is one fault in a settings file.
type Fault struct {
	// Path is the JSON path of the field, such as "platform.log[0]".
	Path string
	// Problem describes the fault, Remedy what to write instead.
	Problem string
	Remedy  string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Path, f.Problem, f.Remedy)
}

// Faults holds all faults of one file, in the order of its fields.
type Faults []Fault

// Error lists all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("%d faults in the settings:", len(f)))
	for _, fault := range f {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// add records a fault.
func (f *Faults) add(path, problem, remedy string) {
	*f = append(*f, Fault{Path: path, Problem: problem, Remedy: remedy})
}

// err returns nil if there is no fault, so that an empty list is not an error.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
