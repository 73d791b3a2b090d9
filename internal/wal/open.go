package wal

import (
	"path/filepath"
)

// Recovered is the content of a log that Open has read.
type Recovered struct {
	Checkpoint
	// Torn is set if the log ended in an incomplete write, which Open removed.
	Torn *TornTail
}

// Open reads the log in dir and prepares it for appending.
func Open(fs FS, dir string, segmentSize int64) (*Log, Recovered, error) {
	if segmentSize <= 0 {
		segmentSize = DefaultSegmentSize
	}
	log := &Log{fs: fs, dir: dir, segmentSize: segmentSize}
	segments, err := log.readSegments()
	if err != nil {
		return nil, Recovered{}, err
	}
	// Nothing on disk is changed until the whole log has been verified.
	segments, recovered, err := log.dropTornTail(segments)
	if err != nil {
		return nil, Recovered{}, err
	}
	segments, obsolete, err := splitAtLastCheckpoint(segments)
	if err != nil {
		return nil, Recovered{}, err
	}
	if torn := recovered.Torn; torn != nil && torn.Offset == 0 {
		obsolete = append(obsolete, torn.Segment)
	}
	if err := log.replay(segments, &recovered.Checkpoint); err != nil {
		return nil, Recovered{}, err
	}
	if err := log.openForAppend(segments[len(segments)-1]); err != nil {
		return nil, Recovered{}, err
	}
	return log, recovered, log.removeSegments(obsolete)
}

// segment is the parsed content of a segment file. The data beyond validSize is corrupt. misplaced is set if it starts
// with an intact frame that does not belong there, which an interrupted write cannot cause.
type segment struct {
	name      string
	data      []byte
	records   []record
	first     uint64
	validSize int
	misplaced bool
}

func (s segment) isIntact() bool { return s.validSize == len(s.data) }

func (s segment) nextSequence() uint64 { return s.first + uint64(len(s.records)) }

func (s segment) startsWithCheckpoint() bool {
	return len(s.records) > 0 && s.records[0].kind == kindCheckpoint
}

func (l *Log) readSegments() ([]segment, error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return nil, storageFailed("open", err)
	}
	var segments []segment
	for _, name := range names {
		if !isSegment(name) {
			continue
		}
		data, err := l.fs.ReadFile(filepath.Join(l.dir, name))
		if err != nil {
			return nil, storageFailed("open", err)
		}
		segments = append(segments, parseSegment(name, data))
	}
	if len(segments) == 0 {
		return nil, corrupt("no segment found in %s", l.dir)
	}
	return segments, nil
}

func parseSegment(name string, data []byte) segment {
	s := segment{name: name, data: data}
	for s.validSize < len(data) {
		sequence, payload, size, err := decodeFrame(data[s.validSize:])
		if err != nil {
			return s
		}
		if len(s.records) == 0 {
			s.first = sequence
		}
		r, err := decodeRecord(payload)
		if err != nil || sequence != s.nextSequence() || segmentName(s.first) != name {
			s.misplaced = true
			return s
		}
		s.records = append(s.records, r)
		s.validSize += size
	}
	return s
}

// dropTornTail drops an incomplete write at the end of the last segment. A last frame that was synced and corrupted
// afterwards cannot be distinguished from an incomplete write and is treated as one.
func (l *Log) dropTornTail(segments []segment) ([]segment, Recovered, error) {
	last := &segments[len(segments)-1]
	if last.isIntact() && len(last.records) > 0 {
		return segments, Recovered{}, nil
	}
	if last.misplaced || containsLaterFrame(last.data[last.validSize:], last.nextSequence()) {
		return nil, Recovered{}, corrupt("segment %s is corrupt at offset %d, before intact frames", last.name, last.validSize)
	}
	torn := &TornTail{Segment: last.name, Offset: int64(last.validSize), Dropped: int64(len(last.data) - last.validSize)}
	if len(last.records) > 0 {
		last.data = last.data[:last.validSize]
		return segments, Recovered{Torn: torn}, nil
	}
	segments = segments[:len(segments)-1]
	if len(segments) == 0 {
		return nil, Recovered{}, corrupt("the only segment %s has no intact frame", last.name)
	}
	return segments, Recovered{Torn: torn}, nil
}

// splitAtLastCheckpoint separates the segments from the latest checkpoint on from the obsolete ones before it.
func splitAtLastCheckpoint(segments []segment) (live []segment, obsolete []string, err error) {
	for i := len(segments) - 1; i >= 0; i-- {
		if !segments[i].startsWithCheckpoint() {
			continue
		}
		for _, s := range segments[:i] {
			obsolete = append(obsolete, s.name)
		}
		return segments[i:], obsolete, nil
	}
	return nil, nil, corrupt("no segment starts with an intact checkpoint")
}

func (l *Log) replay(segments []segment, out *Checkpoint) error {
	expected := segments[0].first
	for _, s := range segments {
		if !s.isIntact() {
			return corrupt("segment %s is corrupt at offset %d, but is not the last segment", s.name, s.validSize)
		}
		if s.first != expected {
			return corrupt("segment %s does not start right after frame %d", s.name, expected-1)
		}
		for _, r := range s.records {
			if err := out.replay(r); err != nil {
				return err
			}
		}
		expected = s.nextSequence()
		l.segments = append(l.segments, s.name)
	}
	l.sequence = expected
	l.identity = out.Identity
	return nil
}

func (c *Checkpoint) replay(r record) error {
	if r.kind == kindCheckpoint {
		*c = Checkpoint{Identity: r.identity, Compacted: r.compacted}
	}
	c.State = r.state
	for _, entry := range r.entries {
		last := c.Compacted.Index + uint64(len(c.Entries))
		if entry.Index <= c.Compacted.Index || entry.Index > last+1 {
			return corrupt("entry %d cannot follow entry %d", entry.Index, last)
		}
		c.Entries = append(c.Entries[:entry.Index-c.Compacted.Index-1], entry)
	}
	if last := c.Compacted.Index + uint64(len(c.Entries)); c.State.Commit > last {
		return corrupt("commit index %d is beyond the last log index %d", c.State.Commit, last)
	}
	return nil
}

func (l *Log) openForAppend(last segment) error {
	file, err := l.fs.OpenAppend(filepath.Join(l.dir, last.name), int64(last.validSize))
	if err != nil {
		return storageFailed("open", err)
	}
	l.file = file
	l.size = int64(last.validSize)
	if err := file.Sync(); err != nil {
		return storageFailed("open", err)
	}
	return nil
}
