// Package examples embeds the example configuration folders.
package examples

import "embed"

// Folders holds a folder of TOML files for each example deployment, named after
// the deployment.
//
//go:embed virtanen/*.toml turnoflor/*.toml
var Folders embed.FS
