package raft

import "github.com/wisteriamux/wisteriamux/internal/fault"

// raftLog holds the log entries since the last compaction in memory.
//
// Invariants: base.Index <= applying <= commit <= last, and stable <= last. Entries up to commit never change.
type raftLog struct {
	// base is the position of the last compacted entry, which precedes entries[0].
	base    Position
	entries []Entry
	commit  uint64
	// stable is the last index that this member has persisted, and applying the last one that the driver has been told
	// to apply.
	stable   uint64
	applying uint64
	// memberships holds the membership changes in the log, oldest first, preceded by the membership of the snapshot or
	// of the compacted log.
	memberships []membershipRecord
}

type membershipRecord struct {
	index      uint64
	membership Membership
}

func newLog(r InitialState) (*raftLog, error) {
	l := &raftLog{
		base:        r.Base,
		entries:     r.Entries,
		commit:      max(r.State.Commit, r.Snapshot.Index),
		applying:    r.Snapshot.Index,
		memberships: []membershipRecord{{index: r.Snapshot.Index, membership: r.Snapshot.Membership}},
	}
	l.stable = l.last().Index
	if r.Base.Index > r.Snapshot.Index {
		return nil, fault.New(fault.Corrupt, "raft.restore", "log starts after index %d, which is beyond the snapshot at index %d", r.Base.Index, r.Snapshot.Index)
	}
	if l.commit > l.stable {
		return nil, fault.New(fault.Corrupt, "raft.restore", "commit index %d is beyond the last log index %d", l.commit, l.stable)
	}
	for _, entry := range r.Entries {
		if entry.Index <= r.Snapshot.Index {
			continue
		}
		if err := l.recordMembership(entry); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *raftLog) last() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	entry := l.entries[len(l.entries)-1]
	return Position{Index: entry.Index, Term: entry.Term}
}

// term returns the term of the entry at the index. It returns false if the entry is compacted or beyond the last one.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last().Index {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// matches reports whether the log has an entry at the position.
func (l *raftLog) matches(p Position) bool {
	term, ok := l.term(p.Index)
	return ok && term == p.Term
}

// slice returns the entries with indexes in [from, to].
func (l *raftLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	low, high := from-l.base.Index-1, to-l.base.Index
	return l.entries[low:high:high]
}

// entriesFrom returns the entries from the index on, limited to maxBytes of data but at least one entry.
func (l *raftLog) entriesFrom(from uint64, maxBytes int) []Entry {
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

// isUpToDate reports whether a log that ends at p is at least as up-to-date as this one, so that a candidate with that
// log lacks no entry of this one that may be committed.
func (l *raftLog) isUpToDate(p Position) bool {
	last := l.last()
	return p.Term > last.Term || (p.Term == last.Term && p.Index >= last.Index)
}

// findConflictByTerm returns the latest position at or before p.Index whose term is at most p.Term. A log that contains
// p cannot match this log between that position and p.
func (l *raftLog) findConflictByTerm(p Position) Position {
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

// merge appends those of the entries that the log lacks, after removing conflicting ones. The position before the first
// entry must match.
func (l *raftLog) merge(entries []Entry) error {
	for i, entry := range entries {
		if l.matches(Position{Index: entry.Index, Term: entry.Term}) {
			continue
		}
		if entry.Index <= l.commit {
			return fault.New(fault.Corrupt, "raft.append", "entry %d of term %d conflicts with a committed entry", entry.Index, entry.Term)
		}
		if entry.Index <= l.last().Index {
			l.truncate(entry.Index)
		}
		return l.append(entries[i:])
	}
	return nil
}

func (l *raftLog) append(entries []Entry) error {
	for _, entry := range entries {
		l.entries = append(l.entries, entry)
		if err := l.recordMembership(entry); err != nil {
			return err
		}
	}
	return nil
}

// truncate removes the entries from the index on. It copies the remaining ones, because slices of the log that were
// returned earlier must not change.
func (l *raftLog) truncate(from uint64) {
	kept := min(from-l.base.Index-1, uint64(len(l.entries)))
	l.entries = append([]Entry(nil), l.entries[:kept]...)
	l.stable = min(l.stable, from-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

func (l *raftLog) recordMembership(entry Entry) error {
	if entry.Kind != EntryMembership {
		return nil
	}
	membership, err := DecodeMembership(entry.Data)
	if err != nil {
		return err
	}
	l.memberships = append(l.memberships, membershipRecord{index: entry.Index, membership: membership})
	return nil
}

// config returns the latest membership in the log, committed or not.
func (l *raftLog) config() membershipRecord { return l.memberships[len(l.memberships)-1] }

// membershipAt returns the membership in effect at the index.
func (l *raftLog) membershipAt(index uint64) Membership {
	found := l.memberships[0].membership
	for _, record := range l.memberships {
		if record.index <= index {
			found = record.membership
		}
	}
	return found
}

// compact removes the entries up to and including the index.
func (l *raftLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base.Index {
		return
	}
	l.entries = append([]Entry(nil), l.slice(index+1, l.last().Index)...)
	l.base = Position{Index: index, Term: term}
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
}

// install replaces the whole log with a snapshot.
func (l *raftLog) install(s Snapshot) {
	*l = raftLog{
		base:        s.Position,
		commit:      s.Index,
		stable:      s.Index,
		applying:    s.Index,
		memberships: []membershipRecord{{index: s.Index, membership: s.Membership}},
	}
}
