// Command samples writes the sample requests in examples/requests. Run it from the root of
// the repository:
//
//	go run ./internal/tools/samples
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/oriolebend/oriolebend/internal/standin/sample"
)

const (
	folder   = "examples/requests"
	fileMode = 0o644
)

func main() {
	if err := write(); err != nil {
		fmt.Fprintln(os.Stderr, "samples:", err)
		os.Exit(1)
	}
}

// write encodes and writes every sample file.
func write() error {
	for name, body := range sample.Files() {
		text, err := sample.Encode(body)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, name), text, fileMode); err != nil {
			return err
		}
	}
	return nil
}
