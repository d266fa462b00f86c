// Package capacity measures what the nodes spend on control: it runs many of
// them in one process over loopback and counts bytes, messages, processor
// time, memory and calls of the store.
package capacity

import (
	"time"
)

// Shape is the size of one fleet to measure.
type Shape struct {
	// Nodes, Replicas and Organisations are numbers of each.
	Nodes         int
	Replicas      int
	Organisations int
	// Requests is how many requests a second ask the owners for a place;
	// none leaves the replicas idle.
	Requests int
	// Regions and DataCentres tell how the VMs are spread.
	Regions     int
	DataCentres int
}

// Times of one measurement.
type Times struct {
	// Settle is waited out before the count begins, Window is how long it
	// lasts.
	Settle time.Duration
	Window time.Duration
}

// Result is what one fleet spent. Bytes and processor time are a node's and a
// second's mean.
type Result struct {
	Shape
	// BytesPerSecond counts the nodes' exchange, in and out, without headers.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// WirePerSecond adds the headers of TCP and IP and an acknowledgement
	// for each segment.
	WirePerSecond float64 `json:"wire_bytes_per_second"`
	// SegmentsPerSecond counts writes, in and out.
	SegmentsPerSecond float64 `json:"segments_per_second"`
	// BusiestWirePerSecond is WirePerSecond of the node that spent most.
	BusiestWirePerSecond float64 `json:"busiest_wire_bytes_per_second"`
	// ProcessorPercent is the share of one core, in percent. It includes the
	// load generator if there are requests.
	ProcessorPercent float64 `json:"processor_percent"`
	// MemoryBytes is a node's heap and stacks after a collection.
	MemoryBytes float64 `json:"memory_bytes"`
	// Store counts calls of the platform a second of the whole fleet, by use.
	Store map[string]float64 `json:"store_calls_per_second"`
	// StoreBytesPerSecond is a node's share of the store's replies as JSON.
	StoreBytesPerSecond float64 `json:"store_bytes_per_second"`
	// ConfigSeconds is the time from an accepted change of the configuration
	// to the last node having it in force.
	ConfigSeconds float64 `json:"config_seconds"`
	// NearSeconds and FarSeconds are the times from a node's death to the
	// last node of its data centre, and of the fleet, taking it for dead.
	NearSeconds float64 `json:"near_detection_seconds"`
	FarSeconds  float64 `json:"far_detection_seconds"`
	// FalseSuspicions counts live nodes taken for dead by another at the end
	// of the window.
	FalseSuspicions int `json:"false_suspicions"`
}

// Measure runs one fleet and returns what it spent.
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
	r := before.until(f.sample())
	r.FalseSuspicions = f.falseSuspicions()
	stop()
	r.MemoryBytes = f.memoryPerNode()
	if r.ConfigSeconds, err = f.changeConfig(); err != nil {
		return r, err
	}
	r.NearSeconds, r.FarSeconds, err = f.killOne()
	return r, err
}
