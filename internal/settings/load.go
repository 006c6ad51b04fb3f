package settings

import (
	"errors"
	"fmt"
	"os"
)

// ErrRead is wrapped by errors about a settings file that could not be read.
var ErrRead = errors.New("cannot read settings")

// LoadEntry reads and checks the settings of sycamore-entry. The error is Faults
// or wraps ErrRead. SharedKey holds the key even if it was read from SharedKeyFile.
func LoadEntry(path string) (Entry, error) {
	return load(path, DefaultEntry(), (*Entry).check)
}

// LoadConsole reads and checks the settings of sycamore-console.
func LoadConsole(path string) (Console, error) {
	return load(path, DefaultConsole(), (*Console).check)
}

// LoadCtl reads and checks the settings of sycamorectl.
func LoadCtl(path string) (Ctl, error) {
	return load(path, DefaultCtl(), (*Ctl).check)
}

func load[T any](path string, defaults T, check func(*T, *Faults)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return defaults, fmt.Errorf("%w: %w", ErrRead, err)
	}
	return parse(data, defaults, check)
}

func parse[T any](data []byte, defaults T, check func(*T, *Faults)) (T, error) {
	settings := defaults
	var faults Faults
	if decodeStrict(data, &settings, &faults) {
		check(&settings, &faults)
	}
	return settings, faults.err()
}

// LoadGateway reads and checks the settings of sycamore-gateway.
func LoadGateway(path string) (Gateway, error) {
	return load(path, DefaultGateway(), (*Gateway).check)
}
