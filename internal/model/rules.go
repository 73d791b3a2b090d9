package model

import "path"

// Defaults for a service that no rule matches.
const (
	DefaultMaxShrink              = 0.5
	DefaultWaitShare              = 0.9
	DefaultLatencyObjectiveMillis = 390
	DefaultLatencyTarget          = 0.99
	DefaultCoverageTarget         = 0.999
)

// DefaultRule returns the rule for a service that no configured rule matches.
func DefaultRule(service string) Rule {
	return Rule{
		Service:                service,
		NeverLoseCoverage:      true,
		MaxShrink:              DefaultMaxShrink,
		WaitShare:              DefaultWaitShare,
		Snapshot:               SnapshotNewestFull,
		LatencyObjectiveMillis: DefaultLatencyObjectiveMillis,
		LatencyTarget:          DefaultLatencyTarget,
		CoverageTarget:         DefaultCoverageTarget,
	}
}

// RuleFor returns the first rule that matches the service, or DefaultRule. Zero fields of a configured rule take the
// defaults, except for NeverLoseCoverage, MaxShrink and PartialAllowed, whose zero values are valid settings.
func (c Configuration) RuleFor(service string) Rule {
	for _, rule := range c.Rules {
		if matched, err := path.Match(rule.Service, service); err == nil && matched {
			return rule.withDefaults()
		}
	}
	return DefaultRule(service)
}

func (r Rule) withDefaults() Rule {
	defaults := DefaultRule(r.Service)
	if r.WaitShare == 0 {
		r.WaitShare = defaults.WaitShare
	}
	if r.Snapshot == "" {
		r.Snapshot = defaults.Snapshot
	}
	if r.LatencyObjectiveMillis == 0 {
		r.LatencyObjectiveMillis = defaults.LatencyObjectiveMillis
	}
	if r.LatencyTarget == 0 {
		r.LatencyTarget = defaults.LatencyTarget
	}
	if r.CoverageTarget == 0 {
		r.CoverageTarget = defaults.CoverageTarget
	}
	return r
}

// MatchServices returns the names of the services of the kind that match any of the patterns, in inventory order.
func (c Configuration) MatchServices(patterns []string, kind ServiceKind) []string {
	var names []string
	for _, service := range c.Inventory.Services {
		if service.Kind == kind && matchesAny(patterns, service.Name) {
			names = append(names, service.Name)
		}
	}
	return names
}

func matchesAny(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if matched, err := path.Match(pattern, name); err == nil && matched {
			return true
		}
	}
	return false
}

// ServiceByName returns the service with the name and whether the inventory contains it.
func (c Configuration) ServiceByName(name string) (Service, bool) {
	for _, service := range c.Inventory.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}
