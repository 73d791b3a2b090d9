package route

import (
	"net"
	"slices"
	"sort"
	"strings"
)

// Index looks up the route of a request. It is immutable and safe for concurrent use.
type Index struct {
	Table Table
	// hosts maps each normalized host to its routes, longest prefix first.
	hosts    map[string][]*Route
	services map[string]Service
	// teams maps the digests of keys to teams.
	teams map[KeyDigest]*Team
	// shardCounts holds the different numbers of shards of the routes.
	shardCounts []int
}

// NewIndex returns the index of a table that Validate accepts.
func NewIndex(table Table) *Index {
	idx := &Index{Table: table, hosts: map[string][]*Route{}, services: map[string]Service{}, teams: map[KeyDigest]*Team{}}
	for i := range idx.Table.Routes {
		r := &idx.Table.Routes[i]
		host := NormalizeHost(r.Host)
		idx.hosts[host] = append(idx.hosts[host], r)
		if len(r.Shards) > 0 && !slices.Contains(idx.shardCounts, len(r.Shards)) {
			idx.shardCounts = append(idx.shardCounts, len(r.Shards))
		}
	}
	for _, routes := range idx.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, service := range table.Services {
		idx.services[service.Name] = service
	}
	for i := range idx.Table.Teams {
		team := &idx.Table.Teams[i]
		for _, key := range team.Keys {
			idx.teams[key] = team
		}
	}
	return idx
}

// Team returns the team that has the key with the digest, or nil.
func (idx *Index) Team(key KeyDigest) *Team { return idx.teams[key] }

// HasTeams reports whether callers need a key of a team on the routes that are not public.
func (idx *Index) HasTeams() bool { return len(idx.Table.Teams) > 0 }

// Match returns the host's route with the longest matching path prefix, or nil.
func (idx *Index) Match(host, path string) *Route {
	for _, r := range idx.hosts[NormalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ShardCounts returns the different numbers of shards of the routes.
func (idx *Index) ShardCounts() []int { return idx.shardCounts }

// Service returns the service with the name and whether it exists.
func (idx *Index) Service(name string) (Service, bool) {
	service, ok := idx.services[name]
	return service, ok
}

// NormalizeHost returns the host without its port and in lower case, because host names are case-insensitive.
func NormalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
