package controlstate

import (
	"maps"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// View returns the part of the state that entry VMs need to serve requests, in a deterministic order. Calls at the same
// revision return the same view, which must not be modified.
func (s *State) View() *model.View {
	if s.cachedView == nil {
		s.cachedView = s.buildView()
	}
	return s.cachedView
}

// CachedView returns the view at the current revision, or nil if it has not been built yet. Unlike View, it does not
// modify the state.
func (s *State) CachedView() *model.View { return s.cachedView }

func (s *State) buildView() *model.View {
	view := &model.View{Revision: s.revision, Config: s.config}
	view.Members = sortedValues(s.members)
	view.Upstreams = sortedValues(s.upstreams)
	for _, fingerprint := range slices.Sorted(maps.Keys(s.quarantines)) {
		q := s.quarantines[fingerprint]
		entry := model.Quarantine{Fingerprint: fingerprint, Until: time.UnixMilli(q.untilMillis).UTC(), Evidence: q.evidence}
		if q.sinceMillis > 0 {
			entry.Since = time.UnixMilli(q.sinceMillis).UTC()
		}
		view.Quarantines = append(view.Quarantines, entry)
	}
	return view
}

// sortedValues returns the values in the order of their keys. It sorts the keys, which are smaller than the values.
func sortedValues[T any](table map[string]T) []T {
	values := make([]T, 0, len(table))
	for _, key := range slices.Sorted(maps.Keys(table)) {
		values = append(values, table[key])
	}
	return values
}
