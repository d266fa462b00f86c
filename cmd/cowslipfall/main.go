// Command cowslipfall runs the model-aware HTTP router. The one binary serves as
// entry node, operators' tool, demonstration and stand-in; see package cli.
package main

import (
	"os"

	"github.com/cowslipfall/cowslipfall/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
