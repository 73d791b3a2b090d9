package model

import (
	"fmt"
	"path"
	"regexp"
)

// MaxLatencyObjectiveMillis bounds the latency objective of a rule.
const MaxLatencyObjectiveMillis = 600_000

// namePattern excludes the metacharacters of path.Match, so that a name used as a pattern matches only itself.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,99}$`)

// Problem is one fault of an inventory or of its rules, with its place in the operators' file.
type Problem struct {
	Location string `json:"place"`
	Message  string `json:"message"`
}

// String returns the place and the message on one line.
func (p Problem) String() string { return p.Location + ": " + p.Message }

// Validate checks an inventory with its rules as a whole and returns every problem in file order.
func Validate(inventory Inventory, rules []Rule) []Problem {
	var v validator
	regions := v.regions(inventory.Regions)
	domains := v.failureDomains(inventory.FailureDomains, regions)
	services := v.services(inventory.Services)
	v.upstreams(inventory.Upstreams, domains, services)
	v.rules(rules, inventory.Services)
	return v.problems
}

// nameSet holds the names that a list defines, with the position of the first definition.
type nameSet map[string]int

// validator collects the problems of one validation.
type validator struct {
	problems []Problem
}

func (v *validator) report(place, format string, args ...any) {
	v.problems = append(v.problems, Problem{Location: place, Message: fmt.Sprintf(format, args...)})
}

// define checks a name and adds it to the set.
func (v *validator) define(names nameSet, place, name string, position int) {
	if !namePattern.MatchString(name) {
		v.report(place+".name", "must start with a letter or digit, hold only letters, digits and ._:-, and have 1 to 100 characters")
		return
	}
	if first, ok := names[name]; ok {
		v.report(place+".name", "is already the name of entry %d", first)
		return
	}
	names[name] = position
}

// refer checks a reference to a name that another list defines.
func (v *validator) refer(names nameSet, place, kind, name string) {
	if _, ok := names[name]; !ok {
		v.report(place, "%s %q does not exist", kind, name)
	}
}

func (v *validator) regions(regions []Region) nameSet {
	names := nameSet{}
	for i, region := range regions {
		v.define(names, placeOf("region", i, region.Name), region.Name, i)
	}
	return names
}

func (v *validator) failureDomains(domains []FailureDomain, regions nameSet) nameSet {
	names := nameSet{}
	for i, domain := range domains {
		place := placeOf("failure_domain", i, domain.Name)
		v.define(names, place, domain.Name, i)
		v.refer(regions, place+".region", "region", domain.Region)
	}
	return names
}

func (v *validator) services(services []Service) nameSet {
	names := nameSet{}
	for i, service := range services {
		place := placeOf("service", i, service.Name)
		v.define(names, place, service.Name, i)
		if service.Kind != ServiceSearch && service.Kind != ServiceBooking {
			v.report(place+".kind", "is %q, must be %q or %q", service.Kind, ServiceSearch, ServiceBooking)
		}
	}
	return names
}

func (v *validator) upstreams(upstreams []InventoryUpstream, domains, services nameSet) {
	names := nameSet{}
	for i, upstream := range upstreams {
		place := placeOf("upstream", i, upstream.Name)
		v.define(names, place, upstream.Name, i)
		v.refer(services, place+".service", "service", upstream.Service)
		v.refer(domains, place+".failure_domain", "failure domain", upstream.FailureDomain)
	}
}

func (v *validator) rules(rules []Rule, services []Service) {
	patterns := nameSet{}
	for i, rule := range rules {
		place := placeOf("rule", i, rule.Service)
		v.rulePattern(place, rule.Service, services)
		if first, ok := patterns[rule.Service]; ok {
			v.report(place+".service", "is already the pattern of entry %d, and the first matching rule applies", first)
		} else {
			patterns[rule.Service] = i
		}
		v.ruleValues(place, rule)
	}
}

// rulePattern refuses a pattern without a match: a misspelt pattern would leave a service without its protection.
func (v *validator) rulePattern(place, pattern string, services []Service) {
	if _, err := path.Match(pattern, ""); err != nil || pattern == "" {
		v.report(place+".service", "is not a name or pattern")
		return
	}
	for _, service := range services {
		if matched, _ := path.Match(pattern, service.Name); matched {
			return
		}
	}
	v.report(place+".service", "matches no service")
}

func (v *validator) ruleValues(place string, rule Rule) {
	v.share(place+".max_shrink", rule.MaxShrink)
	v.share(place+".wait_share", rule.WaitShare)
	v.share(place+".latency_target", rule.LatencyTarget)
	v.share(place+".coverage_target", rule.CoverageTarget)
	if rule.LatencyObjectiveMillis < 0 || rule.LatencyObjectiveMillis > MaxLatencyObjectiveMillis {
		v.report(place+".latency_objective_ms", "is %d, must be from 0 to %d", rule.LatencyObjectiveMillis, MaxLatencyObjectiveMillis)
	}
	switch rule.Snapshot {
	case "", SnapshotNewestFull, SnapshotNewest:
	default:
		v.report(place+".snapshot", "is %q, must be %q or %q", rule.Snapshot, SnapshotNewestFull, SnapshotNewest)
	}
}

// share is written so that NaN fails as well.
func (v *validator) share(place string, value float64) {
	if !(value >= 0 && value <= 1) { //nolint:staticcheck // The negated form also refuses NaN.
		v.report(place, "is %v, must be from 0 to 1", value)
	}
}

func placeOf(kind string, position int, name string) string {
	return fmt.Sprintf("%s[%d] %q", kind, position, name)
}
