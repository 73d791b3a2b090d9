package settings

import (
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// Routes is the TOML form of a route table.
type Routes struct {
	Version  uint64         `toml:"version" validate:"min=1"`
	Limits   RouteLimits    `toml:"limits"`
	Services []RouteService `toml:"service" validate:"dive"`
	Routes   []Route        `toml:"route" validate:"dive"`
	Teams    []RouteTeam    `toml:"team,omitempty" validate:"dive"`
}

// Route is the TOML form of a route. Exactly one of Service, Split and Shards is set.
type Route struct {
	Name       string `toml:"name" validate:"required,max=128"`
	Host       string `toml:"host" validate:"required,max=255"`
	PathPrefix string `toml:"path_prefix" validate:"required"`
	Idempotent bool   `toml:"idempotent"`
	// TimeoutMillis and ObjectiveMillis are in ms.
	TimeoutMillis   int64                  `toml:"timeout_ms" validate:"min=1"`
	ObjectiveMillis int64                  `toml:"objective_ms" validate:"min=0"`
	Rank            int                    `toml:"rank" validate:"min=0"`
	Attempts        int                    `toml:"attempts" validate:"min=0"`
	Service         string                 `toml:"service,omitempty"`
	Split           []RouteWeightedService `toml:"split,omitempty"`
	Shards          []string               `toml:"shards,omitempty"`
	Top             int                    `toml:"top,omitempty" validate:"min=0"`
	// Coverage is the minimum fraction of the shards that a response must include, from 0 to 1.
	Coverage float64 `toml:"coverage,omitempty" validate:"min=0,max=1"`
	// Public routes need no key of a team.
	Public bool `toml:"public,omitempty"`
}

// RouteWeightedService is the TOML form of a service with its weight in a route's Split.
type RouteWeightedService struct {
	Service string  `toml:"service"`
	Weight  float64 `toml:"weight"`
}

// RouteService is the TOML form of a service that routes send requests to.
type RouteService struct {
	Name           string `toml:"name" validate:"required,max=128"`
	HealthPath     string `toml:"health_path,omitempty"`
	MaxConnections int    `toml:"max_connections" validate:"min=0"`
	// ColdStartMillis is how long an upstream is cold after its start, in ms. While it is cold, it takes ColdPerSecond requests per
	// second from all entry VMs together; 0 means no limit.
	ColdStartMillis int64   `toml:"cold_start_ms,omitempty" validate:"min=0"`
	ColdPerSecond   float64 `toml:"cold_per_second,omitempty" validate:"min=0"`
}

// RouteLimits is the TOML form of the limits on callers' requests. 0 selects the router's default.
type RouteLimits struct {
	MaxHeaderBytes      int   `toml:"max_header_bytes" validate:"min=0"`
	MaxBodyBytes        int64 `toml:"max_body_bytes" validate:"min=0"`
	HeaderTimeoutMillis int64 `toml:"header_timeout_ms" validate:"min=0"`
	IdleTimeoutMillis   int64 `toml:"idle_timeout_ms" validate:"min=0"`
}

// LoadRoutes reads and validates a route table.
func LoadRoutes(path string) (route.Table, error) {
	var file Routes
	if err := loadSecret(path, &file); err != nil {
		return route.Table{}, err
	}
	table, err := file.table()
	if err != nil {
		return route.Table{}, err
	}
	return table, table.Validate()
}

// table returns the route table. It does not validate it.
func (f Routes) table() (route.Table, error) {
	table := route.Table{Version: f.Version, Limits: route.Limits{
		MaxHeaderBytes: f.Limits.MaxHeaderBytes, MaxBodyBytes: f.Limits.MaxBodyBytes,
		HeaderTimeout: route.Millis(f.Limits.HeaderTimeoutMillis), IdleTimeout: route.Millis(f.Limits.IdleTimeoutMillis),
	}}
	for _, r := range f.Routes {
		out := route.Route{
			Name: r.Name, Host: r.Host, Prefix: r.PathPrefix, Idempotent: r.Idempotent, Timeout: route.Millis(r.TimeoutMillis),
			Objective: route.Millis(r.ObjectiveMillis), Rank: r.Rank, Attempts: r.Attempts, Service: r.Service, Shards: r.Shards,
			Top: r.Top, Coverage: r.Coverage, Public: r.Public,
		}
		for _, share := range r.Split {
			out.Split = append(out.Split, route.WeightedService(share))
		}
		table.Routes = append(table.Routes, out)
	}
	for _, s := range f.Services {
		table.Services = append(table.Services, route.Service{
			Name: s.Name, HealthPath: s.HealthPath, MaxConnections: s.MaxConnections,
			ColdStart: route.Millis(s.ColdStartMillis), ColdPerSecond: s.ColdPerSecond,
		})
	}
	for _, t := range f.Teams {
		team, err := t.team()
		if err != nil {
			return route.Table{}, err
		}
		table.Teams = append(table.Teams, team)
	}
	return table, nil
}

// RoutesFromTable returns the TOML form of a route table.
func RoutesFromTable(table route.Table) Routes {
	file := Routes{Version: table.Version, Limits: RouteLimits{
		MaxHeaderBytes: table.Limits.MaxHeaderBytes, MaxBodyBytes: table.Limits.MaxBodyBytes,
		HeaderTimeoutMillis: table.Limits.HeaderTimeout.Milliseconds(), IdleTimeoutMillis: table.Limits.IdleTimeout.Milliseconds(),
	}}
	for _, r := range table.Routes {
		out := Route{
			Name: r.Name, Host: r.Host, PathPrefix: r.Prefix, Idempotent: r.Idempotent, TimeoutMillis: r.Timeout.Milliseconds(),
			ObjectiveMillis: r.Objective.Milliseconds(), Rank: r.Rank, Attempts: r.Attempts, Service: r.Service, Shards: r.Shards,
			Top: r.Top, Coverage: r.Coverage, Public: r.Public,
		}
		for _, share := range r.Split {
			out.Split = append(out.Split, RouteWeightedService(share))
		}
		file.Routes = append(file.Routes, out)
	}
	for _, s := range table.Services {
		file.Services = append(file.Services, RouteService{
			Name: s.Name, HealthPath: s.HealthPath, MaxConnections: s.MaxConnections,
			ColdStartMillis: s.ColdStart.Milliseconds(), ColdPerSecond: s.ColdPerSecond,
		})
	}
	for _, team := range table.Teams {
		file.Teams = append(file.Teams, routeTeamOf(team))
	}
	return file
}
