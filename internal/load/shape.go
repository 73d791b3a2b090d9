package load

import (
	"fmt"
	"math"
	"path"
	"sort"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/standin"
)

// ServiceGroup describes one or more services with the same configuration.
type ServiceGroup struct {
	// Prefix is the name of the service, or the prefix of the numbered names if Count is above 1.
	Prefix      string
	Count       int
	Kind        model.ServiceKind
	Shards      int
	Replicas    int
	Slots       int
	Connections int
	ConnectCost time.Duration
}

// Deployment describes the deployment and the traffic of one of the users in section 1.5 of the design.
type Deployment struct {
	User   string
	Region string
	// Domains are the names of the failure domains.
	Domains []string
	// UpstreamOneWayDelay is the network delay between entry VMs and upstreams, ClientOneWayDelay the one between
	// callers and entry VMs.
	UpstreamOneWayDelay time.Duration
	ClientOneWayDelay   time.Duration
	Services            []ServiceGroup
	Rules               []model.Rule
	Mix                 Mix
}

// Log-normal service times of the experiment. With a median of 20 ms, one machine can run all upstreams with its
// processors far from saturated. With this sigma, the slowest of 20 shards takes about four times the median.
const (
	serviceMedian = 20 * time.Millisecond
	serviceSigma  = 0.4
)

// names returns the names of the services in the group.
func (s ServiceGroup) names() []string {
	if s.Count == 1 {
		return []string{s.Prefix}
	}
	names := make([]string, s.Count)
	for n := range names {
		names[n] = fmt.Sprintf("%s-%02d", s.Prefix, n+1)
	}
	return names
}

// DeploymentFor returns the deployment of a user.
func DeploymentFor(user string) (Deployment, error) {
	switch user {
	case "blumenwagen":
		return blumenwagen(), nil
	case "safari":
		return safari(), nil
	}
	return Deployment{}, fault.New(fault.Settings, "load.shape", "unknown user %q", user)
}

func blumenwagen() Deployment {
	services := []ServiceGroup{
		{"clerk", 20, model.ServiceSearch, 1, 2, 2, 25, 6 * time.Millisecond},
		{"grower", 30, model.ServiceSearch, 1, 2, 2, 25, 6 * time.Millisecond},
		{"driver", 1, model.ServiceSearch, 5, 2, 3, 100, time.Millisecond},
		{"settlement", 1, model.ServiceBooking, 1, 5, 3, 100, time.Millisecond},
	}
	return Deployment{
		User: "blumenwagen", Region: "at-ost", Domains: []string{"halle-a", "halle-b", "kuehlhaus"},
		UpstreamOneWayDelay: time.Millisecond, ClientOneWayDelay: 3 * time.Millisecond,
		Services: services,
		Rules:    []model.Rule{{Service: "*", NeverLoseCoverage: true, MaxShrink: 0.5, PartialAllowed: true, WaitShare: 0.9}},
		Mix: Mix{
			{Name: "all clerk boards", Share: 0.35, Services: []string{"clerk-*"}, Callers: callerNames("clerk", 8)},
			{Name: "one grower portal", Share: 0.30, Services: services[1].names(), PickOne: true, Callers: callerNames("grower", 30)},
			{Name: "all grower portals", Share: 0.05, Services: []string{"grower-*"}, Callers: callerNames("auction", 2)},
			{Name: "driver app", Share: 0.25, Services: []string{"driver"}, Callers: callerNames("driver", 40)},
			{Name: "settlement", Share: 0.05, Booking: "settlement", Callers: callerNames("driver", 40)},
		},
	}
}

func safari() Deployment {
	services := []ServiceGroup{
		{"desk", 20, model.ServiceSearch, 1, 2, 2, 25, 6 * time.Millisecond},
		{"fare", 30, model.ServiceSearch, 1, 2, 2, 25, 6 * time.Millisecond},
		{"slate", 1, model.ServiceSearch, 2, 2, 6, 50, time.Millisecond},
		{"alert", 1, model.ServiceBooking, 1, 3, 6, 50, time.Millisecond},
	}
	return Deployment{
		User: "safari", Region: "tz-north", Domains: []string{"arusha-depot", "moshi-depot", "karatu-depot"},
		UpstreamOneWayDelay: 500 * time.Microsecond, ClientOneWayDelay: time.Millisecond,
		Services: services,
		Rules:    []model.Rule{{Service: "*", NeverLoseCoverage: true, MaxShrink: 0.5, WaitShare: 1}},
		Mix: Mix{
			{Name: "all counter desks", Share: 0.35, Services: []string{"desk-*"}, Callers: callerNames("agent", 12)},
			{Name: "one fare board", Share: 0.20, Services: services[1].names(), PickOne: true, Callers: callerNames("agent", 12)},
			{Name: "all fare boards", Share: 0.10, Services: []string{"fare-*"}, Callers: callerNames("office", 3)},
			{Name: "conductor slates", Share: 0.25, Services: []string{"slate"}, Callers: callerNames("conductor", 20)},
			{Name: "text alerts", Share: 0.10, Booking: "alert", Callers: callerNames("office", 3)},
		},
	}
}

// Shards returns the number of shards of each search service.
func (d Deployment) Shards() map[string]int {
	shards := map[string]int{}
	for _, group := range d.Services {
		for _, name := range group.names() {
			if group.Kind == model.ServiceSearch {
				shards[name] = group.Shards
			}
		}
	}
	return shards
}

// Inventory returns the inventory that an operator would apply for the deployment.
func (d Deployment) Inventory() model.Inventory {
	inventory := model.Inventory{Regions: []model.Region{{Name: d.Region}}}
	for _, domain := range d.Domains {
		inventory.FailureDomains = append(inventory.FailureDomains, model.FailureDomain{Name: domain, Region: d.Region})
	}
	for _, group := range d.Services {
		for _, name := range group.names() {
			inventory.Services = append(inventory.Services, model.Service{Name: name, Kind: group.Kind})
		}
	}
	for _, config := range d.Upstreams() {
		own := config.Announcement
		inventory.Upstreams = append(inventory.Upstreams,
			model.InventoryUpstream{Name: own.Name, Service: own.Service, FailureDomain: own.FailureDomain})
	}
	return inventory
}

// Upstreams returns the stand-ins of the deployment without addresses. The replicas of a shard are in different failure
// domains.
func (d Deployment) Upstreams() []standin.Config {
	var all []standin.Config
	for _, group := range d.Services {
		for number, name := range group.names() {
			for shard := range group.Shards {
				for replica := range group.Replicas {
					domain := d.Domains[(number+shard+replica)%len(d.Domains)]
					all = append(all, d.standinConfig(group, name, shard, replica, domain))
				}
			}
		}
	}
	return all
}

func (d Deployment) standinConfig(group ServiceGroup, service string, shard, replica int, domain string) standin.Config {
	return standin.Config{
		Announcement: model.Announcement{
			Name:          fmt.Sprintf("%s-s%d-r%d", service, shard, replica),
			Service:       service,
			FailureDomain: domain,
			Shard:         shard,
			ShardCount:    group.Shards,
			Generation:    1,
			MinVersion:    1,
			MaxVersion:    1,
			Slots:         group.Slots,
			Connections:   group.Connections,
		},
		ServiceTime:  serviceMedian,
		Distribution: standin.LogNormal,
		Sigma:        serviceSigma,
		ConnectCost:  group.ConnectCost,
		OneWayDelay:  d.UpstreamOneWayDelay,
		LoadReport:   standin.LoadReport{Age: 500 * time.Millisecond, Factor: 1},
		Seed:         1,
	}
}

// MeanServiceTime returns the mean of the log-normal service time of the stand-ins.
func (d Deployment) MeanServiceTime() time.Duration {
	return time.Duration(float64(serviceMedian) * math.Exp(serviceSigma*serviceSigma/2))
}

// serviceLoad is the load on each shard of a service: demand is the fraction of all queries that reach the shard, and
// capacity is the number of queries per second that the slots of its replicas can complete.
type serviceLoad struct {
	demand   float64
	capacity float64
}

// serviceLoads returns the load of each service by name.
func (d Deployment) serviceLoads() map[string]serviceLoad {
	loads := map[string]serviceLoad{}
	for _, group := range d.Services {
		for _, name := range group.names() {
			load := serviceLoad{capacity: float64(group.Slots*group.Replicas) / d.MeanServiceTime().Seconds()}
			for _, class := range d.Mix {
				load.demand += class.demand(name)
			}
			loads[name] = load
		}
	}
	return loads
}

// demand returns the fraction of all queries that belong to the class and go to the service.
func (c Class) demand(service string) float64 {
	if c.Booking == service {
		return c.Share
	}
	for _, pattern := range c.Services {
		if matched, err := path.Match(pattern, service); err == nil && matched {
			if c.PickOne {
				return c.Share / float64(len(c.Services))
			}
			return c.Share
		}
	}
	return 0
}

// Capacity returns the queries per second at which the slots of the busiest shard are fully used.
func (d Deployment) Capacity() float64 {
	capacity := math.Inf(1)
	for _, load := range d.serviceLoads() {
		if load.demand > 0 {
			capacity = min(capacity, load.capacity/load.demand)
		}
	}
	return capacity
}

// BusiestServices returns the services with the highest slot utilization, in order of name.
func (d Deployment) BusiestServices() []string {
	loads := d.serviceLoads()
	highest := 0.0
	for _, load := range loads {
		highest = max(highest, load.demand/load.capacity)
	}
	var names []string
	for name, load := range loads {
		if load.demand/load.capacity > highest*(1-1e-9) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// SlotBound returns the queries per second that the slots can complete when queries arrive at the given rate: each
// class is limited by its busiest shard. slotsShare is the fraction of the slots that are available, below 1 for a run
// in which upstreams are drained.
func (d Deployment) SlotBound(rate, slotsShare float64) float64 {
	loads := d.serviceLoads()
	bound := 0.0
	for _, class := range d.Mix {
		served := 1.0
		for name, load := range loads {
			if class.demand(name) > 0 {
				served = min(served, load.capacity*slotsShare/(load.demand*rate))
			}
		}
		bound += rate * class.Share * served
	}
	return bound
}
