package route

import (
	"reflect"
	"slices"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// TableChange is what differs between two versions of the route table. It is sent in place of the newer table.
type TableChange struct {
	From, To uint64
	// Routes and Services are those that were added or changed. The others are listed by name if they were removed.
	Routes          []Route
	RemovedRoutes   []string
	Services        []Service
	RemovedServices []string
	// RouteOrder and ServiceOrder list all names in the order of the newer table. They are empty if changed objects keep their
	// places and added ones follow the others in the order in which they are listed.
	RouteOrder, ServiceOrder []string
	// LimitsChanged and TeamsChanged tell that Limits and Teams replace those of the older table, because gob does not tell an empty
	// value from an absent one.
	LimitsChanged bool
	Limits        Limits
	TeamsChanged  bool
	Teams         []Team
}

// ChangeBetween returns what differs between two tables, or false if objects of either cannot be told apart by name.
func ChangeBetween(from, to Table) (TableChange, bool) {
	change := TableChange{From: from.Version, To: to.Version}
	var routesNamed, servicesNamed bool
	change.Routes, change.RemovedRoutes, change.RouteOrder, routesNamed = changeObjects(from.Routes, to.Routes, routeName)
	change.Services, change.RemovedServices, change.ServiceOrder, servicesNamed = changeObjects(from.Services, to.Services, serviceName)
	if from.Limits != to.Limits {
		change.LimitsChanged, change.Limits = true, to.Limits
	}
	if len(from.Teams)+len(to.Teams) > 0 && !reflect.DeepEqual(from.Teams, to.Teams) {
		change.TeamsChanged, change.Teams = true, to.Teams
	}
	return change, routesNamed && servicesNamed
}

// Apply returns the newer table. It shares objects with the older one, which it does not change. It returns an error if the table
// is not the one that the change begins with.
func (c TableChange) Apply(from Table) (Table, error) {
	if from.Version != c.From {
		return Table{}, fault.New(fault.Corrupt, "route.apply", "the change is from version %d, the table has version %d", c.From, from.Version)
	}
	to := Table{Version: c.To, Limits: from.Limits, Teams: from.Teams}
	var err error
	if to.Routes, err = applyObjects(from.Routes, c.Routes, c.RemovedRoutes, c.RouteOrder, routeName); err != nil {
		return Table{}, err
	}
	if to.Services, err = applyObjects(from.Services, c.Services, c.RemovedServices, c.ServiceOrder, serviceName); err != nil {
		return Table{}, err
	}
	if c.LimitsChanged {
		to.Limits = c.Limits
	}
	if c.TeamsChanged {
		to.Teams = c.Teams
	}
	return to, nil
}

func routeName(r Route) string     { return r.Name }
func serviceName(s Service) string { return s.Name }

// byName returns the objects by name, or false if two have the same name.
func byName[T any](objects []T, name func(T) string) (map[string]T, bool) {
	named := make(map[string]T, len(objects))
	for _, object := range objects {
		named[name(object)] = object
	}
	return named, len(named) == len(objects)
}

// names returns the names of the objects in order.
func names[T any](objects []T, name func(T) string) []string {
	var all []string
	for _, object := range objects {
		all = append(all, name(object))
	}
	return all
}

// changeObjects returns the added and changed objects, the names of the removed ones, and the order of names if merge does not
// result in it. It returns false if two objects of one list have the same name.
func changeObjects[T any](from, to []T, name func(T) string) (changed []T, removed, order []string, ok bool) {
	before, fromNamed := byName(from, name)
	after, toNamed := byName(to, name)
	if !fromNamed || !toNamed {
		return nil, nil, nil, false
	}
	for _, object := range to {
		if old, known := before[name(object)]; !known || !reflect.DeepEqual(old, object) {
			changed = append(changed, object)
		}
	}
	for _, object := range from {
		if _, kept := after[name(object)]; !kept {
			removed = append(removed, name(object))
		}
	}
	if wanted := names(to, name); !slices.Equal(names(merge(from, changed, removed, name), name), wanted) {
		order = wanted
	}
	return changed, removed, order, true
}

// merge returns the objects without the removed ones, with changed ones in their places and added ones at the end.
func merge[T any](from, changed []T, removed []string, name func(T) string) []T {
	replaced, _ := byName(changed, name)
	gone := make(map[string]bool, len(removed))
	for _, n := range removed {
		gone[n] = true
	}
	known := make(map[string]bool, len(from))
	var to []T
	for _, object := range from {
		n := name(object)
		known[n] = true
		if gone[n] {
			continue
		}
		if next, ok := replaced[n]; ok {
			object = next
		}
		to = append(to, object)
	}
	for _, object := range changed {
		if !known[name(object)] {
			to = append(to, object)
		}
	}
	return to
}

// applyObjects merges the changes and puts the result in order.
func applyObjects[T any](from, changed []T, removed, order []string, name func(T) string) ([]T, error) {
	to := merge(from, changed, removed, name)
	if len(order) == 0 {
		return to, nil
	}
	named, _ := byName(to, name)
	if len(order) != len(to) {
		return nil, fault.New(fault.Corrupt, "route.apply", "the change orders %d objects, the table has %d", len(order), len(to))
	}
	ordered := make([]T, 0, len(order))
	for _, n := range order {
		object, ok := named[n]
		if !ok {
			return nil, fault.New(fault.Corrupt, "route.apply", "the change orders %q, which the table does not have", n)
		}
		ordered = append(ordered, object)
	}
	return ordered, nil
}
