// Package route matches requests to the routes of a configuration. A route
// names the service for a host and path prefix, its limits, and whether a key
// is required.
package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind states whether a route's requests may be repeated and whether their
// answers are streams.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// Backend is a service with its weight in a route's traffic.
type Backend struct {
	Service string
	Weight  int
}

// Route is one entry of the table. It must not be modified once it is in a
// table.
type Route struct {
	Name string
	// Host and Prefix select the requests; a prefix begins and ends with "/".
	Host   string
	Prefix string
	Kind   Kind
	// Backends receive the traffic in proportion to their weights.
	Backends []Backend
	// Timeout is the longest time that a caller is kept waiting. Target is the
	// time within which an answer, or the first event of a stream, has its full
	// value.
	Timeout time.Duration
	Target  time.Duration
	// MaxPause is the longest pause between two events for a stream to be in
	// time.
	MaxPause time.Duration
	// MaxAttempts is the number of backend servers that may run one request.
	MaxAttempts int
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Models lists the models that may answer the route's requests, the
	// smallest first. If it is empty, the caller names the model.
	Models []string
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may be resumed at another backend server.
	Resumable bool
	// Sticky routes prefer the backend server that has the prefix of a prompt
	// cached.
	Sticky bool
}

// IsRepeatable reports whether a request may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// ChooseService returns a service chosen by weight. draw is a random number from 0 to
// 1.
func (r *Route) ChooseService(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := draw * float64(total)
	for _, b := range r.Backends {
		if remaining -= float64(b.Weight); remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Model is a model that a service's engines serve.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens.
	Cost float64
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// Models lists the models of a pool of engines. It is empty for a plain
	// service.
	Models []Model
	// WarmupTime is how long a server is cold after a start. WarmupRate is the number of
	// requests per second that a cold server tolerates from all nodes together; 0 names no
	// limit.
	WarmupTime time.Duration
	WarmupRate float64
	// MemoryTokens is the number of tokens that the memory of one engine holds, 0 if it
	// is not known.
	MemoryTokens float64
}

// Organisation is the holder of a set of keys.
type Organisation struct {
	Name string
	// Rank overrides the route's rank unless it is nil.
	Rank *int
	Keys []string
}

// Limits bounds the size of a request and the idle time of a caller's
// connection. Zero values leave the node's own limits in force.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	IdleTimeout    time.Duration
}

// Table is an immutable set of routes. A nil table has no routes.
type Table struct {
	Version  int64
	Limits   Limits
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
	routes   int
	// modelRanks are the ranks of requests for routes with a choice of models.
	modelRanks []int
	// shortestTargets is the result of ShortestTarget by service.
	shortestTargets map[string]time.Duration
}

// Definition is the input of NewTable.
type Definition struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// NewTable validates a definition and returns its table.
func NewTable(d Definition) (*Table, error) {
	t := &Table{Version: d.Version, Limits: d.Limits, hosts: map[string][]*Route{}, services: map[string]*Service{}, routes: len(d.Routes), shortestTargets: shortestTargets(d.Routes), modelRanks: modelRanks(d)}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := checkRoute(r); err != nil {
			return nil, err
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
		})
	}
	if len(d.Organisations) > 0 {
		t.keys = map[string]*Organisation{}
	}
	for i := range d.Organisations {
		for _, key := range d.Organisations[i].Keys {
			t.keys[key] = &d.Organisations[i]
		}
	}
	return t, nil
}

// checkRoute validates a route and normalises its host and its number of
// attempts.
func checkRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Backends) == 0 {
		return errors.Errorf("route %q has no backend service", r.Name)
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	r.Host = strings.ToLower(r.Host)
	return nil
}

// Match returns the route of host with the longest prefix that matches path. A
// port in host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if t == nil {
		return nil, false
	}
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Authorise returns the organisation that holds key. If the table has no
// organisations or the route is anonymous, every request passes, possibly with
// a nil organisation.
func (t *Table) Authorise(r *Route, key string) (*Organisation, bool) {
	if t.keys == nil || r.Anonymous {
		return t.keys[key], true
	}
	org, ok := t.keys[key]
	return org, ok
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service {
	if t == nil {
		return nil
	}
	return t.services[name]
}

// Services returns all services, unordered.
func (t *Table) Services() []*Service {
	if t == nil {
		return nil
	}
	return slices.Collect(maps.Values(t.services))
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.routes }
