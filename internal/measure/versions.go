package measure

import "github.com/cowslipfall/cowslipfall/internal/config"

// The versions of the scenarios, a cheap and a strong one.
var (
	versionA = config.Target{Model: "kuski", Version: "v1"}
	versionB = config.Target{Model: "emanta", Version: "v3"}
)
