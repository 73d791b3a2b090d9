package model

import (
	"fmt"
	"path"
	"regexp"
)

// MaxLatencyObjectiveMillis is the largest latency objective that a rule may set, in ms.
const MaxLatencyObjectiveMillis = 600_000

// namePattern excludes the metacharacters of path.Match, so that a name used as a pattern matches only itself.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,99}$`)

// Problem is one error in an inventory or its rules, with its location in the operators' file.
type Problem struct {
	Location string `json:"place"`
	Message  string `json:"message"`
}

// String returns the location and the message on one line.
func (p Problem) String() string { return p.Location + ": " + p.Message }

// Validate checks an inventory together with its rules and returns every problem, by list and position.
func Validate(inventory Inventory, rules []Rule) []Problem {
	var v validator
	regions := v.regions(inventory.Regions)
	domains := v.failureDomains(inventory.FailureDomains, regions)
	services := v.services(inventory.Services)
	v.upstreams(inventory.Upstreams, domains, services)
	v.rules(rules, inventory.Services)
	return v.problems
}

// nameSet maps each name that a list declares to the position of its first declaration.
type nameSet map[string]int

// validator collects the problems that one call of Validate finds.
type validator struct {
	problems []Problem
}

func (v *validator) report(location, format string, args ...any) {
	v.problems = append(v.problems, Problem{Location: location, Message: fmt.Sprintf(format, args...)})
}

// declare checks that a name is well formed and unique and adds it to the set.
func (v *validator) declare(names nameSet, location, name string, position int) {
	if !namePattern.MatchString(name) {
		v.report(location+".name", "must start with a letter or digit, contain only letters, digits and ._:-, and have 1 to 100 characters")
		return
	}
	if first, ok := names[name]; ok {
		v.report(location+".name", "is already the name of entry %d", first)
		return
	}
	names[name] = position
}

// checkReference checks that another list declares the name.
func (v *validator) checkReference(names nameSet, location, kind, name string) {
	if _, ok := names[name]; !ok {
		v.report(location, "%s %q does not exist", kind, name)
	}
}

func (v *validator) regions(regions []Region) nameSet {
	names := nameSet{}
	for i, region := range regions {
		v.declare(names, entryLocation("region", i, region.Name), region.Name, i)
	}
	return names
}

func (v *validator) failureDomains(domains []FailureDomain, regions nameSet) nameSet {
	names := nameSet{}
	for i, domain := range domains {
		location := entryLocation("failure_domain", i, domain.Name)
		v.declare(names, location, domain.Name, i)
		v.checkReference(regions, location+".region", "region", domain.Region)
	}
	return names
}

func (v *validator) services(services []Service) nameSet {
	names := nameSet{}
	for i, service := range services {
		location := entryLocation("service", i, service.Name)
		v.declare(names, location, service.Name, i)
		if service.Kind != ServiceSearch && service.Kind != ServiceBooking {
			v.report(location+".kind", "is %q, must be %q or %q", service.Kind, ServiceSearch, ServiceBooking)
		}
	}
	return names
}

func (v *validator) upstreams(upstreams []InventoryUpstream, domains, services nameSet) {
	names := nameSet{}
	for i, upstream := range upstreams {
		location := entryLocation("upstream", i, upstream.Name)
		v.declare(names, location, upstream.Name, i)
		v.checkReference(services, location+".service", "service", upstream.Service)
		v.checkReference(domains, location+".failure_domain", "failure domain", upstream.FailureDomain)
	}
}

func (v *validator) rules(rules []Rule, services []Service) {
	patterns := nameSet{}
	for i, rule := range rules {
		location := entryLocation("rule", i, rule.Service)
		v.checkPattern(location, rule.Service, services)
		if first, ok := patterns[rule.Service]; ok {
			v.report(location+".service", "is already the pattern of entry %d, and the first matching rule applies", first)
		} else {
			patterns[rule.Service] = i
		}
		v.checkRuleValues(location, rule)
	}
}

// checkPattern rejects a pattern that matches no service: a misspelt pattern would leave a service without the
// protection that the rule was meant to give it.
func (v *validator) checkPattern(location, pattern string, services []Service) {
	if _, err := path.Match(pattern, ""); err != nil || pattern == "" {
		v.report(location+".service", "is not a valid name or pattern")
		return
	}
	for _, service := range services {
		if matched, _ := path.Match(pattern, service.Name); matched {
			return
		}
	}
	v.report(location+".service", "matches no service")
}

func (v *validator) checkRuleValues(location string, rule Rule) {
	v.checkShare(location+".max_shrink", rule.MaxShrink)
	v.checkShare(location+".wait_share", rule.WaitShare)
	v.checkShare(location+".latency_target", rule.LatencyTarget)
	v.checkShare(location+".coverage_target", rule.CoverageTarget)
	if rule.LatencyObjectiveMillis < 0 || rule.LatencyObjectiveMillis > MaxLatencyObjectiveMillis {
		v.report(location+".latency_objective_ms", "is %d, must be from 0 to %d", rule.LatencyObjectiveMillis, MaxLatencyObjectiveMillis)
	}
	switch rule.Snapshot {
	case "", SnapshotNewestFull, SnapshotNewest:
	default:
		v.report(location+".snapshot", "is %q, must be %q or %q", rule.Snapshot, SnapshotNewestFull, SnapshotNewest)
	}
}

// checkShare reports a value outside 0 to 1.
func (v *validator) checkShare(location string, value float64) {
	if !(value >= 0 && value <= 1) { //nolint:staticcheck // The negated form also rejects NaN.
		v.report(location, "is %v, must be from 0 to 1", value)
	}
}

func entryLocation(kind string, position int, name string) string {
	return fmt.Sprintf("%s[%d] %q", kind, position, name)
}
