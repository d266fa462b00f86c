// Command cowslipfall is the router: one binary for entry nodes, operators,
// demonstrations and stand-ins.
package main

import (
	"os"

	"github.com/cowslipfall/cowslipfall/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
