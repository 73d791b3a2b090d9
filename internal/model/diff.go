package model

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind tells what a change does to an entry of the configuration.
type ChangeKind string

// The kinds of a change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeEdited  ChangeKind = "edited"
	ChangeMoved   ChangeKind = "moved"
)

// Change is one difference between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Entry is the kind and name of the entry, for example `service "clerk-01"`.
	Entry string `json:"entry"`
	// Fields lists the values of an added entry or the changes of an edited one.
	Fields []string `json:"fields,omitempty"`
}

// String returns the change on one line, with the signs of a unified diff.
func (c Change) String() string {
	sign := map[ChangeKind]string{ChangeAdded: "+", ChangeRemoved: "-", ChangeEdited: "~", ChangeMoved: "~"}[c.Kind]
	line := sign + " " + c.Entry
	if c.Kind == ChangeMoved {
		line += " moved to another place in the order"
	}
	if len(c.Fields) > 0 {
		line += ": " + strings.Join(c.Fields, ", ")
	}
	return line
}

// DiffConfiguration returns the changes that lead from one configuration to another, by kind and name. The order of
// rules counts, because the first matching rule applies.
func DiffConfiguration(from, to Configuration) []Change {
	var changes []Change
	a, b := from.Inventory, to.Inventory
	changes = append(changes, diffList("region", a.Regions, b.Regions, func(e Region) string { return e.Name })...)
	changes = append(changes, diffList("failure_domain", a.FailureDomains, b.FailureDomains, func(e FailureDomain) string { return e.Name })...)
	changes = append(changes, diffList("service", a.Services, b.Services, func(e Service) string { return e.Name })...)
	changes = append(changes, diffList("upstream", a.Upstreams, b.Upstreams, func(e InventoryUpstream) string { return e.Name })...)
	rulePattern := func(e Rule) string { return e.Service }
	changes = append(changes, diffList("rule", from.Rules, to.Rules, rulePattern)...)
	return append(changes, movedEntries("rule", from.Rules, to.Rules, rulePattern)...)
}

func diffList[T comparable](kind string, from, to []T, key func(T) string) []Change {
	var changes []Change
	before := byKey(from, key)
	after := byKey(to, key)
	for _, entry := range from {
		if _, kept := after[key(entry)]; !kept {
			changes = append(changes, Change{Kind: ChangeRemoved, Entry: entryName(kind, key(entry))})
		}
	}
	for _, entry := range to {
		old, known := before[key(entry)]
		switch {
		case !known:
			var zero T
			changes = append(changes, Change{Kind: ChangeAdded, Entry: entryName(kind, key(entry)), Fields: fieldChanges(zero, entry, false)})
		case old != entry:
			changes = append(changes, Change{Kind: ChangeEdited, Entry: entryName(kind, key(entry)), Fields: fieldChanges(old, entry, true)})
		}
	}
	return changes
}

// movedEntries names the kept entries that follow another kept entry than before.
func movedEntries[T any](kind string, from, to []T, key func(T) string) []Change {
	before := keptKeys(from, byKey(to, key), key)
	after := keptKeys(to, byKey(from, key), key)
	if slices.Equal(before, after) {
		return nil
	}
	var changes []Change
	for i, name := range after {
		if i >= len(before) || before[i] != name {
			changes = append(changes, Change{Kind: ChangeMoved, Entry: entryName(kind, name)})
		}
	}
	return changes
}

func keptKeys[T any](list []T, other map[string]T, key func(T) string) []string {
	var kept []string
	for _, entry := range list {
		if _, ok := other[key(entry)]; ok {
			kept = append(kept, key(entry))
		}
	}
	return kept
}

func byKey[T any](list []T, key func(T) string) map[string]T {
	entries := make(map[string]T, len(list))
	for _, entry := range list {
		entries[key(entry)] = entry
	}
	return entries
}

func entryName(kind, name string) string { return fmt.Sprintf("%s %q", kind, name) }

// fieldChanges compares two structs field by field under the names of the operators' file.
func fieldChanges(from, to any, withOld bool) []string {
	var fields []string
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		old, current := a.Field(i).Interface(), b.Field(i).Interface()
		name := a.Type().Field(i).Tag.Get("toml")
		if old == current || (!withOld && name == "name") {
			continue
		}
		if withOld {
			fields = append(fields, fmt.Sprintf("%s %v -> %v", name, old, current))
			continue
		}
		fields = append(fields, fmt.Sprintf("%s %v", name, current))
	}
	return fields
}
