package edge

import "time"

// exportLoad passes the totals of the servers' load to the metrics.
func (n *Node) exportLoad(now time.Time) {
	m := n.options.Metrics.Load
	m.Reset()
	for service, t := range n.pool.Totals(now) {
		m.Backlog.WithLabelValues(service, "long").Set(t.LongBacklog.Seconds())
		m.Backlog.WithLabelValues(service, "short").Set(t.ShortBacklog.Seconds())
		m.Tokens.WithLabelValues(service).Set(t.Tokens)
		m.SlowServers.WithLabelValues(service).Set(float64(t.SlowServers))
	}
}
