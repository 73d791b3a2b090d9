// Package route defines the route table, which maps requests to services. The host and the longest matching path prefix
// select a route. A route sends its requests to one service, to one of several services by weight, or to a set of
// shards whose results are merged. The package does no I/O.
package route

import (
	"math"
	"strings"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// Table is a complete route configuration. The table with the highest version is in force.
type Table struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
	// Teams are the teams whose callers may use the routes that are not public. Without any team, every caller may use every
	// route.
	Teams []Team `cbor:"5,keyasint,omitempty"`
}

// Route sends the requests of one host and path prefix to its targets. Exactly one of Service, Split and Shards is set.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	// Idempotent requests may run more than once. Others run at most once for each time that the caller sends them.
	Idempotent bool `cbor:"4,keyasint,omitempty"`
	// Timeout limits how long a caller waits for a response. Objective is the latency within which a response counts as
	// good for the service level objective.
	Timeout   time.Duration `cbor:"5,keyasint"`
	Objective time.Duration `cbor:"6,keyasint,omitempty"`
	// Rank is the priority of the route during overload. 0 is the highest priority.
	Rank int `cbor:"7,keyasint,omitempty"`
	// Attempts is the number of upstreams that one request may be sent to. For a route to shards it applies to each
	// shard.
	Attempts int               `cbor:"8,keyasint,omitempty"`
	Service  string            `cbor:"9,keyasint,omitempty"`
	Split    []WeightedService `cbor:"10,keyasint,omitempty"`
	// Shards are services that each hold a part of the data. The merged response contains the Top greatest records and
	// must include at least the fraction Coverage of the shards.
	Shards   []string `cbor:"11,keyasint,omitempty"`
	Top      int      `cbor:"12,keyasint,omitempty"`
	Coverage float64  `cbor:"13,keyasint,omitempty"`
	// Public routes need no key of a team.
	Public bool `cbor:"14,keyasint,omitempty"`
}

// WeightedService is a service with its weight among the services of a route's Split.
type WeightedService struct {
	Service string  `cbor:"1,keyasint"`
	Weight  float64 `cbor:"2,keyasint"`
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string `cbor:"1,keyasint"`
	HealthPath string `cbor:"2,keyasint,omitempty"`
	// MaxConnections is the number of connections that each upstream accepts from all entry VMs together.
	MaxConnections int `cbor:"3,keyasint,omitempty"`
	// ColdStart is how long an upstream is cold after its start. A cold upstream takes ColdPerSecond requests per second from all
	// entry VMs together; 0 means no limit.
	ColdStart     time.Duration `cbor:"4,keyasint,omitempty"`
	ColdPerSecond float64       `cbor:"5,keyasint,omitempty"`
}

// Limits restricts the size of callers' requests and how long a connection may take to send a header or stay idle.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes   int64         `cbor:"2,keyasint,omitempty"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout    time.Duration `cbor:"4,keyasint,omitempty"`
}

// Millis returns the duration of a number of milliseconds, at most the longest one and at least the shortest.
func Millis(ms int64) time.Duration {
	const most = math.MaxInt64 / int64(time.Millisecond)
	switch {
	case ms > most:
		return math.MaxInt64
	case ms < -most:
		return math.MinInt64
	}
	return time.Duration(ms) * time.Millisecond
}

// Targets returns the names of all services that the route may send a request to.
func (r Route) Targets() []string {
	targets := append([]string(nil), r.Shards...)
	if r.Service != "" {
		targets = append(targets, r.Service)
	}
	for _, weighted := range r.Split {
		targets = append(targets, weighted.Service)
	}
	return targets
}

// ServiceNames returns the names of all services of the table.
func (t Table) ServiceNames() []string {
	names := make([]string, 0, len(t.Services))
	for _, service := range t.Services {
		names = append(names, service.Name)
	}
	return names
}

// Validate returns an error for the first problem because of which the table cannot be put in force.
func (t Table) Validate() error {
	if t.Version == 0 {
		return invalid("version is 0, must be at least 1")
	}
	services := map[string]bool{}
	for _, service := range t.Services {
		if service.Name == "" || services[service.Name] {
			return invalid("service %q has no name or is defined twice", service.Name)
		}
		if service.ColdStart < 0 || !isAmount(service.ColdPerSecond) {
			return invalid("service %q: cold start is %s and cold rate is %g, both must be at least 0", service.Name, service.ColdStart, service.ColdPerSecond)
		}
		services[service.Name] = true
	}
	if err := validateTeams(t.Teams); err != nil {
		return err
	}
	type routeKey struct{ host, prefix string }
	nameByKey := map[routeKey]string{}
	for _, r := range t.Routes {
		if err := r.validate(services); err != nil {
			return err
		}
		key := routeKey{NormalizeHost(r.Host), r.Prefix}
		if other, taken := nameByKey[key]; taken {
			return invalid("routes %q and %q have the same host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		nameByKey[key] = r.Name
	}
	return nil
}

func (r Route) validate(services map[string]bool) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q: host is %q and prefix is %q, expected a host and a prefix that begins and ends with /",
			r.Name, r.Host, r.Prefix)
	}
	if r.Timeout <= 0 {
		return invalid("route %q: timeout is %s, must be above 0", r.Name, r.Timeout)
	}
	if err := r.validateTargets(services); err != nil {
		return err
	}
	// A coverage that is not a number fails both comparisons.
	if r.Attempts < 0 || r.Top < 0 || !(r.Coverage >= 0 && r.Coverage <= 1) {
		return invalid("route %q: attempts %d, top %d or coverage %g is out of range: attempts and top must be at least 0, coverage from 0 to 1",
			r.Name, r.Attempts, r.Top, r.Coverage)
	}
	return nil
}

func (r Route) validateTargets(services map[string]bool) error {
	targetKinds := 0
	for _, set := range []bool{r.Service != "", len(r.Split) > 0, len(r.Shards) > 0} {
		if set {
			targetKinds++
		}
	}
	if targetKinds != 1 {
		return invalid("route %q: exactly one of service, split and shards must be set", r.Name)
	}
	seen := map[string]bool{}
	for _, target := range r.Targets() {
		if !services[target] {
			return invalid("route %q: service %q is unknown", r.Name, target)
		}
		if seen[target] {
			return invalid("route %q: service %q is listed twice", r.Name, target)
		}
		seen[target] = true
	}
	if len(r.Split) == 0 {
		return nil
	}
	weightless := true
	for _, weighted := range r.Split {
		if !isAmount(weighted.Weight) {
			return invalid("route %q: weight of %q is %g, must be a number of at least 0", r.Name, weighted.Service, weighted.Weight)
		}
		weightless = weightless && weighted.Weight == 0
	}
	if weightless {
		return invalid("route %q: the weights add up to 0, must be above 0", r.Name)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return fault.New(fault.BadRequest, "route.check", format, args...)
}
