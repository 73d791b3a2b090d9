package route

import (
	"net"
	"sort"
	"strings"
)

// Index finds the route of a request. It does not change after NewIndex.
type Index struct {
	Table    Table
	hosts    map[string][]*Route
	services map[string]Service
}

// NewIndex returns the index of a checked table.
func NewIndex(table Table) *Index {
	x := &Index{Table: table, hosts: map[string][]*Route{}, services: map[string]Service{}}
	for i := range x.Table.Routes {
		r := &x.Table.Routes[i]
		host := NormalizeHost(r.Host)
		x.hosts[host] = append(x.hosts[host], r)
	}
	for _, routes := range x.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, service := range table.Services {
		x.services[service.Name] = service
	}
	return x
}

// Match returns the route with the longest prefix of the path among those of the host, or nil.
func (x *Index) Match(host, path string) *Route {
	for _, r := range x.hosts[NormalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the name.
func (x *Index) Service(name string) (Service, bool) {
	service, ok := x.services[name]
	return service, ok
}

// NormalizeHost returns the host in lower case without its port, because host names are case-insensitive.
func NormalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
