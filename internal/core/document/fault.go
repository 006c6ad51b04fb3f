package document

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Path leads to the field, such as organisations[3].tiers[1].
	Path string `json:"path"`
	// Problem says what is wrong, Remedy what to do about it.
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String puts the fault into one line.
func (f Fault) String() string {
	return f.Path + ": " + f.Problem + "; " + f.Remedy
}

// Faults are all the faults of one document, in the document's order.
type Faults []Fault

// MaxFaults bounds how many faults one check lists. A document that is wrong
// throughout would otherwise cost each entry memory without bound; the last
// fault then says that the list is cut.
const MaxFaults = 1000

// Error lists every fault, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Err is nil without faults. A nil Faults put into an error would not be nil.
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
