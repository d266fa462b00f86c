// Package capacity measures the cost of coordination between nodes. It runs a
// whole fleet of nodes in one process over loopback and counts their network
// traffic, CPU time, memory and store calls.
package capacity

import (
	"time"
)

// Shape is the size of a fleet to measure.
type Shape struct {
	// Nodes, Replicas and Organisations are how many the fleet has of each.
	Nodes         int
	Replicas      int
	Organisations int
	// Requests is the number of requests a second for which the load generator
	// acquires slots from the owners; 0 leaves the replicas idle.
	Requests int
	// Regions and DataCentres are the numbers over which the VMs are spread
	// evenly.
	Regions     int
	DataCentres int
}

// Times are the durations of one measurement.
type Times struct {
	// Settle is the time between the start of the load and the measurement,
	// and Window the length of the measurement.
	Settle time.Duration
	Window time.Duration
}

// Result is the cost of one fleet. Bytes, segments and CPU time are means
// for each node and second.
type Result struct {
	Shape
	// BytesPerSecond is the traffic between nodes, sent and received, without
	// headers.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// WirePerSecond is BytesPerSecond with TCP and IP headers and one
	// acknowledgement for each segment.
	WirePerSecond float64 `json:"wire_bytes_per_second"`
	// SegmentsPerSecond is the number of reads and writes on connections
	// between nodes. Each counts as one TCP segment.
	SegmentsPerSecond float64 `json:"segments_per_second"`
	// BusiestWirePerSecond is WirePerSecond of the node with the most traffic.
	BusiestWirePerSecond float64 `json:"busiest_wire_bytes_per_second"`
	// CPUPercent is the CPU time of a node, in percent of one core. It
	// includes the load generator if there are requests.
	CPUPercent float64 `json:"processor_percent"`
	// MemoryBytes is the memory of a node: heap and stacks after a garbage
	// collection.
	MemoryBytes float64 `json:"memory_bytes"`
	// StoreCallsPerSecond is the number of calls from the whole fleet to the
	// platform, by kind of call.
	StoreCallsPerSecond map[string]float64 `json:"store_calls_per_second"`
	// StoreBytesPerSecond is the size of the platform's replies and of written
	// rows, as JSON, for each node.
	StoreBytesPerSecond float64 `json:"store_bytes_per_second"`
	// ConfigSeconds is the time from an accepted change of the configuration
	// until it is in force on all nodes.
	ConfigSeconds float64 `json:"config_seconds"`
	// LocalDetectionSeconds is the time from the stop of a node until all
	// nodes of its data centre treat it as unreachable, and
	// FleetDetectionSeconds the time until all nodes of the fleet do.
	LocalDetectionSeconds float64 `json:"near_detection_seconds"`
	FleetDetectionSeconds float64 `json:"far_detection_seconds"`
	// FalseSuspicions is the number of times that a node treats a live node as
	// unreachable at the end of the window.
	FalseSuspicions int `json:"false_suspicions"`
}

// Measure runs one fleet and returns its cost.
func Measure(shape Shape, times Times) (Result, error) {
	f, err := startFleet(shape)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	stop := f.startLoad()
	time.Sleep(times.Settle)
	before := f.sample()
	time.Sleep(times.Window)
	r := before.usageUntil(f.sample())
	r.FalseSuspicions = f.falseSuspicions()
	stop()
	r.MemoryBytes = f.memoryPerNode()
	if r.ConfigSeconds, err = f.measureConfigChange(); err != nil {
		return r, err
	}
	r.LocalDetectionSeconds, r.FleetDetectionSeconds, err = f.measureDetection()
	return r, err
}
