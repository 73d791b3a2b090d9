package registry

import (
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// MaxInstances is the number of upstreams that can be registered: twice the size that is planned for.
	MaxInstances = 32_768
	// MaxUnusedInstances is the number of upstreams of services without a configuration among them. Those of services that a
	// configuration is about to name begin to report before it does.
	MaxUnusedInstances = MaxInstances / 2

	maxNameBytes = 256
	maxSlots     = 10_000
	// maxColdStart bounds the cold start that an upstream may announce.
	maxColdStart = time.Hour
	// maxClockAhead is how far the clock of an upstream may be ahead.
	maxClockAhead = time.Hour
	// minReportInterval is the least mean time between two reports of one process, and freeReports the number of reports that
	// are accepted at any interval.
	minReportInterval = 10 * time.Millisecond
	freeReports       = 1000
)

// CheckPlausible returns an error if no upstream of the platform can be as described. Such a description was left by another
// writer: it could take all requests of a service, or make the true reports of the upstream count as old.
func (i Instance) CheckPlausible(now time.Time) error {
	if err := i.Process().CheckPlausible(now); err != nil {
		return err
	}
	for _, name := range []string{i.Service, i.FailureDomain} {
		if err := checkName(name, unicode.IsPrint); err != nil {
			return err
		}
	}
	address, err := netip.ParseAddrPort(i.Address)
	switch {
	case err != nil:
		return implausible("address %.64q: %w", i.Address, err)
	case address.Port() == 0, address.Addr().IsUnspecified(), address.Addr().IsMulticast():
		return implausible("address %q names no process", i.Address)
	case i.Slots < 1 || i.Slots > maxSlots:
		return implausible("%d slots, accepted: 1 to %d", i.Slots, maxSlots)
	case i.ColdMillis < 0 || i.ColdMillis > maxColdStart.Milliseconds():
		return implausible("a cold start of %d ms, accepted: up to %s", i.ColdMillis, maxColdStart)
	}
	if highest := i.highestSequence(now); i.Sequence > highest {
		return implausible("sequence %d, accepted: up to %d", i.Sequence, highest)
	}
	return nil
}

// CheckPlausible returns an error if no process of the platform can have the identity. The ID becomes part of paths and headers.
func (p Process) CheckPlausible(now time.Time) error {
	if p.Instance == "" {
		return implausible("the ID is empty")
	}
	if err := checkName(p.Instance, func(r rune) bool { return r > ' ' && r < unicode.MaxASCII }); err != nil {
		return err
	}
	if p.Born < 0 || p.Born > now.Add(maxClockAhead).UnixMilli() {
		return implausible("a start at %d ms, accepted: up to %s from now", p.Born, maxClockAhead)
	}
	return nil
}

// checkName returns an error if the name is too long or has other characters than the accepted ones.
func checkName(name string, accepted func(rune) bool) error {
	if len(name) > maxNameBytes {
		return implausible("a name of %d bytes exceeds the limit of %d", len(name), maxNameBytes)
	}
	if !utf8.ValidString(name) || strings.ContainsFunc(name, func(r rune) bool { return !accepted(r) }) {
		return implausible("the name %.64q contains characters that no name may have", name)
	}
	return nil
}

// Clamped returns the upstream with its slots and its cold start within the accepted bounds. State that an earlier version has
// stored may hold others.
func (i Instance) Clamped() Instance {
	i.Slots = min(max(1, i.Slots), maxSlots)
	i.ColdMillis = min(max(0, i.ColdMillis), maxColdStart.Milliseconds())
	return i
}

// highestSequence returns the highest sequence that a process with this start time can have reached.
func (i Instance) highestSequence(now time.Time) uint64 {
	age := max(0, now.UnixMilli()-i.Born)
	return freeReports + uint64(age/minReportInterval.Milliseconds())
}

func implausible(format string, args ...any) error {
	return fault.New(fault.BadRequest, "registry.check", format, args...)
}
