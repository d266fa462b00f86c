// Package examples holds the example configuration folders.
package examples

import "embed"

// Folders holds one folder for each deployment, by its name.
//
//go:embed virtanen/*.toml turnoflor/*.toml
var Folders embed.FS
