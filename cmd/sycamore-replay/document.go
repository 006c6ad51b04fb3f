package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/replay/capacity"
)

// maxTokens limits the organisations whose tokens are written. These suffice to send
// load, and the file remains readable.
const maxTokens = 100

func generateDocumentCommand() *cobra.Command {
	size := capacity.Size{}
	var id, out, tokens string
	command := &cobra.Command{
		Use:   "generate-document",
		Short: "Generate a configuration document of any size",
		Long: `Makes a document with so many targets and organisations, the same for the same
numbers, for measuring what sizes cost. Targets listen on loopback, as
"sycamore-standin layout" lays them out.`,
		Example: "  sycamore-replay generate-document --targets 1800 --organisations 38000 --models 7 --zones 11 --out out/large.json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			doc, err := capacity.Generate(id, size)
			if err != nil {
				return err
			}
			data, err := document.Encode(doc)
			if err != nil {
				return err
			}
			if err := os.WriteFile(out, data, 0o644); err != nil {
				return fmt.Errorf("write document: %w", err)
			}
			fmt.Printf("%s: %d bytes, %d targets, %d organisations\n", out, len(data), len(doc.Targets), len(doc.Organisations))
			if tokens == "" {
				return nil
			}
			return writeTokens(tokens, size.Organisations)
		},
	}
	flags := command.Flags()
	flags.StringVar(&id, "id", "generated", "id of the document")
	flags.IntVar(&size.Targets, "targets", 12, "engines")
	flags.IntVar(&size.Services, "services", 2, "targets of the plain service")
	flags.IntVar(&size.Organisations, "organisations", 5, "organisations")
	flags.IntVar(&size.Models, "models", 2, "models, each with a pool of its own")
	flags.IntVar(&size.Zones, "zones", 3, "availability zones")
	flags.IntVar(&size.MaxInFlight, "max-in-flight", 0, "requests in flight at one engine (0: 32)")
	flags.BoolVar(&size.OneGeneration, "one-generation", false, "all engines of the newer generation")
	flags.StringVar(&out, "out", "", "file to write")
	flags.StringVar(&tokens, "tokens", "", fmt.Sprintf("file for the bearer tokens of the first %d organisations", maxTokens))
	mustMarkRequired(command, "out")
	return command
}

func writeTokens(path string, organisations int) error {
	list := map[string]string{}
	for i := range min(organisations, maxTokens) {
		name := capacity.OrganisationName(i)
		list[name] = capacity.Token(name)
	}
	data, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return fmt.Errorf("write tokens: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write tokens: %w", err)
	}
	return nil
}
