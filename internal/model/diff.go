package model

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind is what a change does to an entry of the configuration.
type ChangeKind string

// The kinds of a change. ChangeMoved means that a rule is at another position; all others ignore the order.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeEdited  ChangeKind = "edited"
	ChangeMoved   ChangeKind = "moved"
)

// Change is one difference between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Entry is the type and name of the entry, for example `service "clerk-01"`.
	Entry string `json:"entry"`
	// Fields lists the values of an added entry or the changes of an edited one.
	Fields []string `json:"fields,omitempty"`
}

// String returns the change on one line, prefixed with + (added), - (removed) or ~ (edited or moved).
func (c Change) String() string {
	sign := map[ChangeKind]string{ChangeAdded: "+", ChangeRemoved: "-", ChangeEdited: "~", ChangeMoved: "~"}[c.Kind]
	line := sign + " " + c.Entry
	if c.Kind == ChangeMoved {
		line += " moved to another position"
	}
	if len(c.Fields) > 0 {
		line += ": " + strings.Join(c.Fields, ", ")
	}
	return line
}

// DiffConfiguration returns the changes that turn one configuration into another, grouped by the type of the entry. It
// also compares the order of the rules, because the first matching rule applies. It ignores the version.
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

// diffList returns the removed entries, then the added and edited ones in the order of the new list.
func diffList[T comparable](kind string, from, to []T, key func(T) string) []Change {
	var changes []Change
	before := byKey(from, key)
	after := byKey(to, key)
	for _, entry := range from {
		if _, remains := after[key(entry)]; !remains {
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

// movedEntries compares the order of the entries that both lists contain and returns those whose position differs.
func movedEntries[T any](kind string, from, to []T, key func(T) string) []Change {
	before := commonKeys(from, byKey(to, key), key)
	after := commonKeys(to, byKey(from, key), key)
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

// commonKeys returns, in list order, the keys that other also contains.
func commonKeys[T any](list []T, other map[string]T, key func(T) string) []string {
	var common []string
	for _, entry := range list {
		if _, ok := other[key(entry)]; ok {
			common = append(common, key(entry))
		}
	}
	return common
}

func byKey[T any](list []T, key func(T) string) map[string]T {
	entries := make(map[string]T, len(list))
	for _, entry := range list {
		entries[key(entry)] = entry
	}
	return entries
}

func entryName(kind, name string) string { return fmt.Sprintf("%s %q", kind, name) }

// fieldChanges lists the fields in which two structs differ, under their TOML keys. With withOld it gives the old and
// the new value; without, it gives the new value only and omits the name, which the change shows anyway.
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
