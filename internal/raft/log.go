package raft

import "github.com/wisteriamux/wisteriamux/internal/fault"

// entryLog is the log in memory from the last compaction on.
//
// Invariants: base.Index <= handed <= commit <= last, and stable <= last. Entries up to commit never change.
type entryLog struct {
	// base is the position before entries[0].
	base    Position
	entries []Entry
	commit  uint64
	// stable is the last index on this member's disk, and handed the last one given out as committed.
	stable uint64
	handed uint64
	// configs holds the memberships in force from an index on, oldest first; the first one is at or before base.
	configs []configAt
}

type configAt struct {
	index uint64
	value Membership
}

func newLog(r Restored) (*entryLog, error) {
	l := &entryLog{
		base:    r.Base,
		entries: r.Entries,
		commit:  max(r.State.Commit, r.Snapshot.Index),
		handed:  r.Snapshot.Index,
		configs: []configAt{{index: r.Snapshot.Index, value: r.Snapshot.Membership}},
	}
	l.stable = l.last().Index
	if r.Base.Index > r.Snapshot.Index {
		return nil, fault.New(fault.Corrupt, "raft.restore", "log starts after %d, beyond snapshot %d", r.Base.Index, r.Snapshot.Index)
	}
	if l.commit > l.stable {
		return nil, fault.New(fault.Corrupt, "raft.restore", "commit index %d is beyond the last entry %d", l.commit, l.stable)
	}
	for _, entry := range r.Entries {
		if entry.Index <= r.Snapshot.Index {
			continue
		}
		if err := l.noteConfig(entry); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *entryLog) last() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	entry := l.entries[len(l.entries)-1]
	return Position{Index: entry.Index, Term: entry.Term}
}

// term returns the term of the entry at the index, unless it is compacted or beyond the last entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last().Index {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// matches reports whether the log holds the position.
func (l *entryLog) matches(p Position) bool {
	term, ok := l.term(p.Index)
	return ok && term == p.Term
}

// slice returns the entries from..to, both included.
func (l *entryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	low, high := from-l.base.Index-1, to-l.base.Index
	return l.entries[low:high:high]
}

// bounded returns entries from the index on, at least one and otherwise at most maxBytes of data.
func (l *entryLog) bounded(from uint64, maxBytes int) []Entry {
	entries := l.slice(from, l.last().Index)
	size := 0
	for i, entry := range entries {
		size += len(entry.Data)
		if i > 0 && size > maxBytes {
			return entries[:i]
		}
	}
	return entries
}

// isUpToDate reports whether a candidate whose log ends at p may lead, that is, lacks no entry that may be committed.
func (l *entryLog) isUpToDate(p Position) bool {
	last := l.last()
	return p.Term > last.Term || (p.Term == last.Term && p.Index >= last.Index)
}

// agreeing returns the latest position at or before p.Index whose term is at most p.Term. Two logs can agree at no
// later position.
func (l *entryLog) agreeing(p Position) Position {
	index := min(p.Index, l.last().Index)
	for {
		term, ok := l.term(index)
		if !ok {
			return Position{Index: index}
		}
		if term <= p.Term || index == l.base.Index {
			return Position{Index: index, Term: term}
		}
		index--
	}
}

// merge makes the log contain the entries, which follow a matching position. Conflicting entries are removed.
func (l *entryLog) merge(entries []Entry) error {
	for i, entry := range entries {
		if l.matches(Position{Index: entry.Index, Term: entry.Term}) {
			continue
		}
		if entry.Index <= l.commit {
			return fault.New(fault.Corrupt, "raft.append", "entry %d of term %d conflicts with a committed one", entry.Index, entry.Term)
		}
		if entry.Index <= l.last().Index {
			l.truncate(entry.Index)
		}
		return l.append(entries[i:])
	}
	return nil
}

func (l *entryLog) append(entries []Entry) error {
	for _, entry := range entries {
		l.entries = append(l.entries, entry)
		if err := l.noteConfig(entry); err != nil {
			return err
		}
	}
	return nil
}

// truncate removes the entries from the index on. Copying keeps slices that were handed out unchanged.
func (l *entryLog) truncate(from uint64) {
	kept := min(from-l.base.Index-1, uint64(len(l.entries)))
	l.entries = append([]Entry(nil), l.entries[:kept]...)
	l.stable = min(l.stable, from-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= from {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

func (l *entryLog) noteConfig(entry Entry) error {
	if entry.Kind != EntryMembership {
		return nil
	}
	value, err := DecodeMembership(entry.Data)
	if err != nil {
		return err
	}
	l.configs = append(l.configs, configAt{index: entry.Index, value: value})
	return nil
}

// config returns the newest membership of the log, committed or not.
func (l *entryLog) config() configAt { return l.configs[len(l.configs)-1] }

// membershipAt returns the membership in force at the index.
func (l *entryLog) membershipAt(index uint64) Membership {
	found := l.configs[0].value
	for _, config := range l.configs {
		if config.index <= index {
			found = config.value
		}
	}
	return found
}

// compact removes the entries up to the index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base.Index {
		return
	}
	l.entries = append([]Entry(nil), l.slice(index+1, l.last().Index)...)
	l.base = Position{Index: index, Term: term}
	for len(l.configs) > 1 && l.configs[1].index <= index {
		l.configs = l.configs[1:]
	}
}

// install replaces the log by a snapshot.
func (l *entryLog) install(s Snapshot) {
	*l = entryLog{
		base:    s.Position,
		commit:  s.Index,
		stable:  s.Index,
		handed:  s.Index,
		configs: []configAt{{index: s.Index, value: s.Membership}},
	}
}
