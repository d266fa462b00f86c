package telemetry

import "github.com/prometheus/client_golang/prometheus"

// LoadMetrics holds the load of the backend servers by service, as far as this node knows.
type LoadMetrics struct {
	// Backlog is the time to read the prompts that wait, by service and prompts: "long" or
	// "short", in seconds.
	Backlog *prometheus.GaugeVec
	// Tokens is the memory that the requests in progress take, in tokens.
	Tokens *prometheus.GaugeVec
	// SlowServers is the number of servers whose work takes much longer than usual.
	SlowServers *prometheus.GaugeVec
}

func newLoadMetrics(f factory) LoadMetrics {
	return LoadMetrics{
		Backlog:     f.gauges("route_load_backlog_seconds", "Time to read the prompts that wait at backend servers by service and prompts (long, short).", "service", "prompts"),
		Tokens:      f.gauges("route_load_tokens", "Memory that the requests under way take at backend servers by service, in tokens.", "service"),
		SlowServers: f.gauges("route_servers_slow", "Backend servers whose work takes much longer than usual by service.", "service"),
	}
}

// Reset forgets all services.
func (m LoadMetrics) Reset() {
	for _, v := range []*prometheus.GaugeVec{m.Backlog, m.Tokens, m.SlowServers} {
		v.Reset()
	}
}
