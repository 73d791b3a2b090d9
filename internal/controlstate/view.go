package controlstate

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// View returns the state that entry VMs serve from, in a deterministic order. Calls at the same revision return the
// same view, which nobody may change.
func (s *State) View() *model.View {
	if s.cached == nil {
		s.cached = s.buildView()
	}
	return s.cached
}

// CachedView returns the view of the current revision if it was built before. Unlike View it only reads.
func (s *State) CachedView() *model.View { return s.cached }

func (s *State) buildView() *model.View {
	view := &model.View{Revision: s.revision, Config: s.config}
	view.Members = sortedValues(s.members, func(member model.Member) string { return member.ID })
	view.Upstreams = sortedValues(s.upstreams, func(upstream model.Upstream) string { return upstream.Name })
	for fingerprint, until := range s.quarantines {
		view.Quarantines = append(view.Quarantines, model.Quarantine{Fingerprint: fingerprint, Until: time.UnixMilli(until).UTC()})
	}
	slices.SortFunc(view.Quarantines, func(a, b model.Quarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return view
}

func sortedValues[T any](table map[string]T, key func(T) string) []T {
	values := make([]T, 0, len(table))
	for _, value := range table {
		values = append(values, value)
	}
	slices.SortFunc(values, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return values
}
