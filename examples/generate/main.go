// Command generate writes the example documents, tanglaw.json and
// quebracho.json, into the directory examples:
//
//	go run ./examples/generate
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"sycamoretrail/examples"
	"sycamoretrail/internal/core/document"
)

const (
	directory = "examples"
	fileMode  = 0o644
)

func main() {
	if err := generate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func generate() error {
	for name, d := range examples.All() {
		if err := d.Check().Err(); err != nil {
			return fmt.Errorf("example %s: %w", name, err)
		}
		data, err := document.EncodeIndent(d)
		if err != nil {
			return fmt.Errorf("example %s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(directory, name), data, fileMode); err != nil {
			return fmt.Errorf("write example: %w", err)
		}
	}
	return nil
}
