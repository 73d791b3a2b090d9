package registry

// Effect is the effect that a report has on the table.
type Effect int

// The effects of a report.
const (
	// Stale is the effect of a report that is older than the table, which is ignored.
	Stale Effect = iota
	// Renewal is the effect of a report that only confirms the registered record.
	Renewal
	// Change is the effect of a report that changes the table when it is applied.
	Change
	// Departed is the effect of a report by a process that has left, which is ignored.
	Departed
	// Conflict is the effect of a report under the ID of a registered process that names another service or address. It is ignored
	// as long as the registered process reports.
	Conflict
)

// String returns the name of the effect for logs and metrics.
func (e Effect) String() string {
	switch e {
	case Renewal:
		return "renewal"
	case Change:
		return "change"
	case Departed:
		return "departed"
	case Conflict:
		return "conflict"
	default:
		return "stale"
	}
}

// Rules selects how a report is applied. All members of a control group must apply a report by the same rules.
type Rules uint8

// The rules for reports.
const (
	// DisplaceByAddress are the rules of earlier versions: of two upstreams that report the same address, the one that started last
	// keeps it, and the other one is removed for good.
	DisplaceByAddress Rules = 0
	// IndependentProcesses are the rules by which a report changes only the record of the process that sent it. The process that
	// listens on an address refuses requests for others.
	IndependentProcesses Rules = 1
)

// Uses reports whether the route table in force names the service of the upstream, or no table is in force yet.
func (t *Table) Uses(i Instance) bool { return t.services == nil || t.services[i.Service] }

// Preview returns the effect that the report would have, without applying it.
func (t *Table) Preview(r Report) Effect {
	current, known := t.instances[r.Instance.ID]
	switch {
	case r.Silent, r.Left && r.Rules == DisplaceByAddress:
		return previewRemoval(r, current, known)
	case r.Left:
		return t.previewDeparture(r.Instance.Process(), current, known)
	case r.Rules == DisplaceByAddress:
		return t.previewDisplacing(r, current, known)
	case known:
		return t.previewUpdate(r, current)
	}
	if gone, ok := t.departures[r.Instance.ID]; ok && !gone.allowsReturnOf(r.Instance) {
		return Departed
	}
	return Change
}

// previewDeparture returns the effect of a deregistration. It concerns all processes of the ID that started no later than the one that
// deregisters, and without a start time the registered process.
func (t *Table) previewDeparture(p Process, current Instance, known bool) Effect {
	left := current.LeftBorn
	if !known {
		gone, recorded := t.departures[p.Instance]
		if !recorded || !gone.Deregistered && (p.Born == 0 || p.Born >= gone.Born) {
			return Change
		}
		left = gone.leftBorn()
	} else if p.Born == 0 || p.Born >= current.Born {
		return Change
	}
	if p.Born > left {
		return Change
	}
	return Departed
}

func previewRemoval(r Report, current Instance, known bool) Effect {
	if !known || (r.Instance.Born != 0 && r.Instance.Born != current.Born) {
		return Stale
	}
	if r.Silent && r.Instance.Since != current.Since {
		return Stale
	}
	return Change
}

// previewUpdate returns the effect of a heartbeat under the ID of a registered process. A process keeps its service and its address
// until it ends.
func (t *Table) previewUpdate(r Report, current Instance) Effect {
	i := r.Instance
	switch {
	case i.Born != 0 && i.Born <= current.LeftBorn:
		return Departed
	case t.Uses(i) && !t.Uses(current):
		// Nothing is taken from an upstream that no request can reach.
		return Change
	case i.Born < current.Born:
		return Stale
	case i.Service != current.Service || i.Address != current.Address:
		return Conflict
	case i.Born > current.Born:
		return Change
	}
	return previewSequence(r, current)
}

// previewSequence returns the effect of a heartbeat of the registered process.
func previewSequence(r Report, current Instance) Effect {
	switch {
	case r.Instance.Sequence < current.Sequence:
		return Stale
	case sameRegistration(r.Instance, current) && (!r.ColdChanged || r.Instance.Sequence == current.Sequence):
		return Renewal
	case r.Instance.Sequence == current.Sequence:
		return Stale
	}
	return Change
}
