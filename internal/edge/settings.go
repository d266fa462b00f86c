// Package edge is one entry VM's process before a platform's routes: it follows
// the platform's store together with the other nodes, tells callers which
// addresses to use, forwards their requests, and brings new versions in.
package edge

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

// Settings are those of one process.
type Settings struct {
	// Node is the process's name, unique in the fleet.
	Node       string
	IP         string
	DataCentre string
	Region     string
	// Callers, Readiness and Directory are the addresses of the interfaces
	// towards callers.
	Callers   string
	Readiness string
	Directory string
	// InnerPort is where other nodes connect, the same on all nodes.
	InnerPort int
	// Bandwidth (Mbit/s) and Processor (cores) are the VM's limits.
	Bandwidth float64
	Processor float64
	// Seeds are IP numbers of nodes that may be there.
	Seeds []string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// StopTime is how long a stop may take from SIGTERM to SIGKILL.
	StopTime time.Duration
	// RetryRatio, RetryWindow and RetryAllowance bound what all nodes send
	// beyond the first attempt of each request.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// ExposureRatio bounds the share of a service's requests that an unproved
	// version may get.
	ExposureRatio float64
	// SessionLife is how long after a request its session goes on.
	SessionLife time.Duration
	// DirectoryTTL is the longest time that a directory answer counts.
	DirectoryTTL time.Duration
	// Store is the address of the platform's store.
	Store string
}

// Tables names the tables and keys of the store that the operator, the
// platform and the system share.
type Tables struct {
	Operator string
	Servers  string
	Status   string
	// Config is the key of the configuration, RolloutPrefix begins the keys of
	// roll-outs, in Operator and Status.
	Config        string
	RolloutPrefix string
}

// Schema decodes what the platform keeps.
type Schema interface {
	Tables() Tables
	Routes(data []byte) (*route.Table, error)
	Server(id string, data []byte) (pool.Server, error)
	Rollout(data []byte) (RolloutOrder, error)
	RolloutStatus(data []byte) (RolloutStatus, error)
	EncodeRolloutStatus(s RolloutStatus) ([]byte, error)
}

// RolloutOrder asks to bring a version of a service in.
type RolloutOrder struct {
	Service string
	To      string
	// Duration is the time in which it is to be done.
	Duration time.Duration
}

// RolloutState is how far a roll-out is.
type RolloutState int

// The states of a roll-out.
const (
	RolloutRunning RolloutState = iota
	RolloutCompleted
	RolloutReverted
)

// RolloutStatus is what the operator is told of a roll-out.
type RolloutStatus struct {
	State RolloutState
	To    string
}
