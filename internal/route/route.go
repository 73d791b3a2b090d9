// Package route is the table that tells which requests go to which services: a route is selected by host and longest
// path prefix and leads to one service, to services by weight, or to a set of shards. It performs no I/O.
package route

import (
	"strings"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// Table is a complete configuration of routes. The table with the highest version is in force.
type Table struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
}

// Route leads the requests of one host and path prefix to exactly one of Service, Split and Shards.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	// Idempotent requests may run more than once; others run at most once for each attempt of a caller.
	Idempotent bool `cbor:"4,keyasint,omitempty"`
	// Timeout is the longest time that a caller may be kept waiting, and Objective the time within which an answer
	// counts as good.
	Timeout   time.Duration `cbor:"5,keyasint"`
	Objective time.Duration `cbor:"6,keyasint,omitempty"`
	// Rank orders routes under overload; 0 is the most urgent.
	Rank int `cbor:"7,keyasint,omitempty"`
	// Attempts is the number of upstreams that one request may be sent to, for each shard separately.
	Attempts int               `cbor:"8,keyasint,omitempty"`
	Service  string            `cbor:"9,keyasint,omitempty"`
	Split    []WeightedService `cbor:"10,keyasint,omitempty"`
	// Shards are the services that each hold one part of the answer; the answer keeps the Top greatest records and
	// includes at least the share Coverage of the shards.
	Shards   []string `cbor:"11,keyasint,omitempty"`
	Top      int      `cbor:"12,keyasint,omitempty"`
	Coverage float64  `cbor:"13,keyasint,omitempty"`
}

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service string  `cbor:"1,keyasint"`
	Weight  float64 `cbor:"2,keyasint"`
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string `cbor:"1,keyasint"`
	HealthPath string `cbor:"2,keyasint,omitempty"`
	// MaxConnections is how many connections each upstream accepts from all entry VMs together.
	MaxConnections int `cbor:"3,keyasint,omitempty"`
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes   int64         `cbor:"2,keyasint,omitempty"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout    time.Duration `cbor:"4,keyasint,omitempty"`
}

// Targets returns the services that a route may send a request to.
func (r Route) Targets() []string {
	targets := append([]string(nil), r.Shards...)
	if r.Service != "" {
		targets = append(targets, r.Service)
	}
	for _, share := range r.Split {
		targets = append(targets, share.Service)
	}
	return targets
}

// Validate reports the first reason for which the table cannot be in force.
func (t Table) Validate() error {
	if t.Version == 0 {
		return invalid("version is 0, accepted: at least 1")
	}
	services := map[string]bool{}
	for _, service := range t.Services {
		if service.Name == "" || services[service.Name] {
			return invalid("service %q is unnamed or listed twice", service.Name)
		}
		services[service.Name] = true
	}
	type place struct{ host, prefix string }
	places := map[place]string{}
	for _, r := range t.Routes {
		if err := r.check(services); err != nil {
			return err
		}
		at := place{NormalizeHost(r.Host), r.Prefix}
		if other, taken := places[at]; taken {
			return invalid("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		places[at] = r.Name
	}
	return nil
}

func (r Route) check(services map[string]bool) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q: host %q and prefix %q, accepted: a host and a prefix that begins and ends with /",
			r.Name, r.Host, r.Prefix)
	}
	if r.Timeout <= 0 {
		return invalid("route %q: timeout is %s, accepted: above 0", r.Name, r.Timeout)
	}
	if err := r.checkTargets(services); err != nil {
		return err
	}
	if r.Attempts < 0 || r.Top < 0 || r.Coverage < 0 || r.Coverage > 1 {
		return invalid("route %q: attempts %d, top %d or coverage %g is out of range", r.Name, r.Attempts, r.Top, r.Coverage)
	}
	return nil
}

func (r Route) checkTargets(services map[string]bool) error {
	kinds := 0
	for _, set := range []bool{r.Service != "", len(r.Split) > 0, len(r.Shards) > 0} {
		if set {
			kinds++
		}
	}
	if kinds != 1 {
		return invalid("route %q: accepted: exactly one of a service, weighted services and shards", r.Name)
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
	total := 0.0
	for _, share := range r.Split {
		if share.Weight < 0 {
			return invalid("route %q: weight of %q is %g, accepted: at least 0", r.Name, share.Service, share.Weight)
		}
		total += share.Weight
	}
	if total <= 0 {
		return invalid("route %q: the weights add up to 0", r.Name)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return fault.New(fault.BadRequest, "route.check", format, args...)
}
