// Package wal implements the write-ahead log of a control member: an append-only, checksummed log on disk. Save returns
// only after the data is synced. Open truncates and reports an incomplete write at the end of the log, and fails with
// fault.Corrupt on any other corruption. After a failed write or sync, all further operations fail with
// fault.StorageFailed, because the content of the file is unknown until it is read again.
package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
)

const (
	segmentSuffix = ".wal"
	// DefaultSegmentSize is the size at which a new segment is started. It keeps the scan for frames after a corrupt
	// one short.
	DefaultSegmentSize = 4 << 20
)

// Checkpoint is the complete content of a log.
type Checkpoint struct {
	// Identity is the identity of the member that owns the data directory.
	Identity uint64
	// Compacted is the position up to which a snapshot replaces the log. Entries follow it.
	Compacted raft.Position
	State     raft.HardState
	Entries   []raft.Entry
}

// TornTail describes an incomplete write at the end of the log that Open removed.
type TornTail struct {
	Segment string
	Offset  int64
	Dropped int64
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs          FS
	dir         string
	segmentSize int64

	file     File
	size     int64
	sequence uint64
	identity uint64
	segments []string
	failure  error
}

// Create creates a log that contains only the checkpoint. It creates the directory by an atomic rename, so that the
// directory never exists without a complete checkpoint.
func Create(fs FS, dir string, checkpoint Checkpoint) error {
	temporary := dir + ".tmp"
	if err := fs.RemoveAll(temporary); err != nil {
		return storageFailed("create", err)
	}
	if err := fs.MkdirAll(temporary); err != nil {
		return storageFailed("create", err)
	}
	log := &Log{fs: fs, dir: temporary, sequence: 1, identity: checkpoint.Identity}
	if err := log.startSegment(checkpointRecord(checkpoint)); err != nil {
		return err
	}
	if err := log.Close(); err != nil {
		return err
	}
	if err := fs.Rename(temporary, dir); err != nil {
		return storageFailed("create", err)
	}
	if err := fs.SyncDir(filepath.Dir(dir)); err != nil {
		return storageFailed("create", err)
	}
	return nil
}

// Exists reports whether dir holds a log.
func Exists(fs FS, dir string) (bool, error) {
	names, err := fs.ReadDir(dir)
	if err != nil {
		return false, storageFailed("exists", err)
	}
	return len(names) > 0, nil
}

// Save appends the hard state and the entries and syncs them. The entries replace those with the same or a higher
// index.
func (l *Log) Save(state raft.HardState, entries []raft.Entry) error {
	if l.failure != nil {
		return l.failure
	}
	r := record{kind: kindSave, state: state, entries: entries}
	if l.size >= l.segmentSize {
		return l.fail(l.startSegment(r))
	}
	return l.fail(l.append(r))
}

// Compact replaces the content of the log with the checkpoint and removes the earlier segments. It keeps the identity
// of the log and ignores that of the checkpoint.
func (l *Log) Compact(checkpoint Checkpoint) error {
	if l.failure != nil {
		return l.failure
	}
	checkpoint.Identity = l.identity
	obsolete := l.segments
	l.segments = nil
	if err := l.startSegment(checkpointRecord(checkpoint)); err != nil {
		return l.fail(err)
	}
	return l.fail(l.removeSegments(obsolete))
}

// Close closes the log. Everything saved is already synced.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	file := l.file
	l.file = nil
	if l.failure == nil {
		l.failure = fault.New(fault.StorageFailed, "wal.save", "log is closed")
	}
	if err := file.Close(); err != nil {
		return storageFailed("close", err)
	}
	return nil
}

func (l *Log) removeSegments(names []string) error {
	for _, name := range names {
		if err := l.fs.RemoveAll(filepath.Join(l.dir, name)); err != nil {
			return storageFailed("compact", err)
		}
	}
	if len(names) == 0 {
		return nil
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return storageFailed("compact", err)
	}
	return nil
}

// startSegment creates a segment with the record in its first frame and makes it the current segment.
func (l *Log) startSegment(first record) error {
	name := segmentName(l.sequence)
	file, err := l.fs.Create(filepath.Join(l.dir, name))
	if err != nil {
		return storageFailed("segment", err)
	}
	previous := l.file
	l.file = file
	l.size = 0
	if err := l.append(first); err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return storageFailed("segment", err)
	}
	l.segments = append(l.segments, name)
	if previous == nil {
		return nil
	}
	if err := previous.Close(); err != nil {
		return storageFailed("segment", err)
	}
	return nil
}

func (l *Log) append(r record) error {
	payload := encodeRecord(r)
	if len(payload) > maxPayloadSize {
		return fault.New(fault.TooLarge, "wal.save", "record of %d bytes exceeds the limit of %d bytes", len(payload), maxPayloadSize)
	}
	frame := encodeFrame(l.sequence, payload)
	if _, err := l.file.Write(frame); err != nil {
		return storageFailed("write", err)
	}
	if err := l.file.Sync(); err != nil {
		return storageFailed("sync", err)
	}
	l.size += int64(len(frame))
	l.sequence++
	return nil
}

// fail records the first error, which fails all further operations, and returns err.
func (l *Log) fail(err error) error {
	if err != nil && l.failure == nil {
		l.failure = err
	}
	return err
}

func checkpointRecord(c Checkpoint) record {
	return record{kind: kindCheckpoint, identity: c.Identity, compacted: c.Compacted, state: c.State, entries: c.Entries}
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%016x%s", sequence, segmentSuffix)
}

func isSegment(name string) bool {
	return strings.HasSuffix(name, segmentSuffix)
}

func storageFailed(op string, err error) error {
	return fault.New(fault.StorageFailed, "wal."+op, "%w", err)
}

func corrupt(format string, args ...any) error {
	return fault.New(fault.Corrupt, "wal.open", format, args...)
}
