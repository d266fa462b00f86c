package measure

import "github.com/cowslipfall/cowslipfall/internal/config"

// The versions of the scenarios: a cheap one and a strong one.
var (
	cheapVersion  = config.Target{Model: "kuski", Version: "v1"}
	strongVersion = config.Target{Model: "emanta", Version: "v3"}
)
