package route

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is one difference between two route tables.
type Change struct {
	// Kind is "added", "removed" or "changed".
	Kind string `json:"kind"`
	// Object is "route", "service", "team" or "limits". Name is empty for limits.
	Object string `json:"object"`
	Name   string `json:"name"`
}

// String returns the change on one line.
func (c Change) String() string { return fmt.Sprintf("%s %s %q", c.Kind, c.Object, c.Name) }

// Diff returns the changes from the current to the next table: routes, then services, then teams, each sorted by name, then limits.
// Keys do not appear in it.
func Diff(current, next Table) []Change {
	routes := func(t Table) map[string]any {
		all := map[string]any{}
		for _, r := range t.Routes {
			all[r.Name] = r
		}
		return all
	}
	services := func(t Table) map[string]any {
		all := map[string]any{}
		for _, s := range t.Services {
			all[s.Name] = s
		}
		return all
	}
	teams := func(t Table) map[string]any {
		all := map[string]any{}
		for _, team := range t.Teams {
			all[team.Name] = team
		}
		return all
	}
	changes := append(diffObjects("route", routes(current), routes(next)), diffObjects("service", services(current), services(next))...)
	changes = append(changes, diffObjects("team", teams(current), teams(next))...)
	if current.Limits != next.Limits {
		changes = append(changes, Change{Kind: "changed", Object: "limits"})
	}
	return changes
}

// diffObjects returns the changes between two sets of objects of one type, sorted by name.
func diffObjects(object string, current, next map[string]any) []Change {
	var changes []Change
	for name, value := range next {
		before, ok := current[name]
		switch {
		case !ok:
			changes = append(changes, Change{Kind: "added", Object: object, Name: name})
		case !reflect.DeepEqual(before, value):
			changes = append(changes, Change{Kind: "changed", Object: object, Name: name})
		}
	}
	for name := range current {
		if _, ok := next[name]; !ok {
			changes = append(changes, Change{Kind: "removed", Object: object, Name: name})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Name < changes[j].Name })
	return changes
}
