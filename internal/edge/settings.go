// Package edge runs an entry node of a platform's HTTP load balancer. The node follows
// the platform's store together with the other nodes, serves the directory of
// addresses to callers, forwards their requests to backend servers, and rolls out new
// versions with a canary analysis.
package edge

import (
	"time"

	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

// Settings configure one process.
type Settings struct {
	// Node is the process's name, unique in the fleet.
	Node       string
	IP         string
	DataCentre string
	Region     string
	// Callers, Readiness and Directory are the addresses of the interfaces to callers.
	Callers   string
	Readiness string
	Directory string
	// InnerPort is the port for other nodes, the same on all nodes.
	InnerPort int
	// Bandwidth (Mbit/s) and Processor (cores) are the VM's limits.
	Bandwidth float64
	Processor float64
	// Memory is that of the process in bytes, 0 if it is not known.
	Memory int64
	// Seeds are IP addresses of nodes that may be running.
	Seeds []string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// StopTime is how long a shutdown may take from SIGTERM to SIGKILL.
	StopTime time.Duration
	// RetryRatio, RetryWindow and RetryAllowance bound the retries of all nodes: what they
	// send beyond the first attempt of each request.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// ExposureRatio bounds the share of a service's requests that an unproven version may
	// get.
	ExposureRatio float64
	// WarmupOverrun and WarmupAllowance bound what a cold server gets in any second: the
	// rate that its service names times WarmupOverrun, plus WarmupAllowance requests. Cold
	// servers have no limit if WarmupOverrun is 0.
	WarmupOverrun   float64
	WarmupAllowance float64
	// EvacuationTime is how long after an evacuation was ordered requests may still reach
	// the data centre's servers.
	EvacuationTime time.Duration
	// SessionLife is how long a session lasts after its last request.
	SessionLife time.Duration
	// DirectoryTTL is the longest time that a directory answer is valid.
	DirectoryTTL time.Duration
	// Store is the address of the platform's store.
	Store string
}

// Tables names the tables and keys of the store that the operator, the platform and
// the system share.
type Tables struct {
	Operator string
	Servers  string
	Status   string
	// Config is the key of the configuration, RolloutPrefix begins the keys of roll-outs
	// in Operator and Status.
	Config        string
	RolloutPrefix string
	// EvacuationPrefix begins the keys of rows in Operator by which the operator orders that
	// nothing more is sent to the servers of a data centre, whose name follows. Empty means
	// that there are none.
	EvacuationPrefix string
}

// Schema decodes and encodes the platform's rows.
type Schema interface {
	Tables() Tables
	Routes(data []byte) (*route.Table, error)
	Server(id string, data []byte) (pool.Server, error)
	Rollout(data []byte) (RolloutOrder, error)
	RolloutStatus(data []byte) (RolloutStatus, error)
	EncodeRolloutStatus(s RolloutStatus) ([]byte, error)
}

// RolloutOrder is an order to roll out a version of a service.
type RolloutOrder struct {
	Service string
	To      string
	// Duration is the time within which the roll-out is to complete.
	Duration time.Duration
}

// RolloutState is the state of a roll-out.
type RolloutState int

// The states of a roll-out.
const (
	RolloutRunning RolloutState = iota
	RolloutCompleted
	RolloutReverted
)

// RolloutStatus is the state of a roll-out as reported to the operator.
type RolloutStatus struct {
	State RolloutState
	To    string
}
