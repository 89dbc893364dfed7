// Command oriolebend routes requests across separate prefill and decode
// pools.
package main

import (
	"os"

	"github.com/oriolebend/oriolebend/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
