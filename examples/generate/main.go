// Command generate writes the example documents, tanglaw.json and
// quebracho.json, and their organisations' tokens into the directory examples:
//
//	go run ./examples/generate
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"sycamoretrail/examples"
	"sycamoretrail/internal/core/document"
)

const (
	directory    = "examples"
	extension    = ".json"
	tokensSuffix = "-tokens.json"
	fileMode     = 0o644
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
		if err := write(name, data); err != nil {
			return err
		}
		if err := writeTokens(name, d); err != nil {
			return err
		}
	}
	return nil
}

// writeTokens writes the organisations' tokens beside the document, for replays.
func writeTokens(name string, d *document.Document) error {
	deployment := strings.TrimSuffix(name, extension)
	tokens := make(map[string]string)
	for _, o := range d.Organisations {
		tokens[o.Name] = examples.Token(deployment, o.Name)
	}
	data, err := json.MarshalIndent(tokens, "", "  ")
	if err != nil {
		return fmt.Errorf("tokens of %s: %w", deployment, err)
	}
	return write(deployment+tokensSuffix, append(data, '\n'))
}

func write(name string, data []byte) error {
	if err := os.WriteFile(filepath.Join(directory, name), data, fileMode); err != nil {
		return fmt.Errorf("write example: %w", err)
	}
	return nil
}
