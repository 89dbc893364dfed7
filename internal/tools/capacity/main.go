// Command capacity recomputes the tables of docs/CAPACITY.md from
// internal/capacity/slopes.toml. Run it from the root of the repository:
//
//	go run ./internal/tools/capacity
package main

import (
	"fmt"
	"os"

	"github.com/oriolebend/oriolebend/internal/capacity"
)

const (
	page     = "docs/CAPACITY.md"
	fileMode = 0o644
)

func main() {
	if err := write(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// write recomputes the tables and writes the page.
func write() error {
	data, err := capacity.Load()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	rewritten, err := capacity.Rewrite(string(text), data)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(rewritten), fileMode)
}
