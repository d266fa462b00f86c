// Package route holds the routes of a configuration: which service answers
// which host and path, under which limits, and whose keys open them.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind tells what may be repeated.
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

// Backend is a service that takes a share of a route's traffic.
type Backend struct {
	Service string
	Weight  int
}

// Route is one rule of the table. It does not change once it is in a table.
type Route struct {
	Name string
	// Host and Prefix select the requests; a prefix begins and ends with "/".
	Host   string
	Prefix string
	Kind   Kind
	// Backends take the traffic in proportion to their weights.
	Backends []Backend
	// Timeout is the longest a caller is kept waiting, Target the time within
	// which an answer, or the first event of a stream, has its full value.
	Timeout time.Duration
	Target  time.Duration
	// MaxPause is the longest pause between events of a stream in time.
	MaxPause time.Duration
	// MaxAttempts is how many backend servers may run one request.
	MaxAttempts int
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Models may answer the route's requests, the smallest first; empty means
	// that the caller names the model.
	Models []string
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// Sticky routes prefer the backend server that has read a prompt's head.
	Sticky bool
}

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service chooses a service by weight; draw is within 0 to 1.
func (r *Route) Service(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	at := draw * float64(total)
	for _, b := range r.Backends {
		if at -= float64(b.Weight); at < 0 {
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
	// Models are those of a pool of model engines; empty for a plain service.
	Models []Model
}

// Organisation holds keys.
type Organisation struct {
	Name string
	// Rank goes before the route's rank; nil leaves the route's.
	Rank *int
	Keys []string
}

// Limits bound what a caller may send, and how long its connection may carry no
// request. Zero leaves the node's own bounds.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	IdleTimeout    time.Duration
}

// Table is an immutable configuration of routes. A nil table knows no route.
type Table struct {
	Version  int64
	Limits   Limits
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
	routes   int
}

// Definition is what a table is made from.
type Definition struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// NewTable checks a definition and returns its table.
func NewTable(d Definition) (*Table, error) {
	t := &Table{Version: d.Version, Limits: d.Limits, hosts: map[string][]*Route{}, services: map[string]*Service{}, routes: len(d.Routes)}
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

func checkRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Backends) == 0 {
		return errors.Errorf("route %q: name a service", r.Name)
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	r.Host = strings.ToLower(r.Host)
	return nil
}

// Match returns the route with the longest prefix of path among those of
// host. A port in host does not count.
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

// Authorise returns the organisation that holds key. Without organisations in
// the table each request passes, with a nil organisation.
func (t *Table) Authorise(r *Route, key string) (*Organisation, bool) {
	if t.keys == nil || r.Anonymous {
		return t.keys[key], true
	}
	o, ok := t.keys[key]
	return o, ok
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service {
	if t == nil {
		return nil
	}
	return t.services[name]
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.routes }
