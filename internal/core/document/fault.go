package document

import (
	"fmt"
	"strings"
)

// Fault is one fault of a document.
type Fault struct {
	// Path is the path of the field, such as organisations[3].tiers[1].
	Path string `json:"path"`
	// Problem describes what is wrong, Remedy how to fix it.
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	return f.Path + ": " + f.Problem + "; " + f.Remedy
}

// Faults are the faults of one document, in the document's order.
type Faults []Fault

// MaxFaults bounds the faults that one check lists, and thereby the memory that an
// invalid document uses at each entry. If there are more, one further fault at the
// end reports that the list is truncated.
const MaxFaults = 1000

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if there are no faults. An empty Faults
// converted to an error directly would not be nil.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func (f *Faults) add(path, remedy, format string, args ...any) {
	if len(*f) > MaxFaults {
		return
	}
	if len(*f) == MaxFaults {
		*f = append(*f, Fault{Path: path, Problem: "more faults from here on are not listed", Remedy: "mend those above and check again"})
		return
	}
	*f = append(*f, Fault{Path: path, Problem: fmt.Sprintf(format, args...), Remedy: remedy})
}
