// Package snapstore stores checksummed snapshots of the state machine in a directory. A snapshot file is renamed into
// place atomically after it is synced. A corrupt snapshot is renamed and skipped, and the next older one is used; the
// caller decides whether the log still reaches back to it.
package snapstore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
	"github.com/wisteriamux/wisteriamux/internal/wal"
)

const (
	suffix          = ".snap"
	temporarySuffix = ".tmp"
	corruptSuffix   = ".corrupt"
	magic           = "WMUXSNP1"
	headerSize      = len(magic) + 4
	// retainedSnapshots is the number of snapshots that Prune retains, so that a member survives one corrupt snapshot.
	retainedSnapshots = 2
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Store is a directory of snapshots. It is safe for concurrent use, except for concurrent Saves of the same position.
type Store struct {
	fs  wal.FS
	dir string
}

// Open creates the directory if necessary and removes incomplete snapshots.
func Open(fs wal.FS, dir string) (*Store, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, storageFailed("open", err)
	}
	s := &Store{fs: fs, dir: dir}
	names, err := fs.ReadDir(dir)
	if err != nil {
		return nil, storageFailed("open", err)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := fs.RemoveAll(filepath.Join(dir, name)); err != nil {
			return nil, storageFailed("open", err)
		}
	}
	return s, nil
}

// Save writes a snapshot and returns after it is synced.
func (s *Store) Save(snapshot raft.Snapshot) error {
	data, err := encode(snapshot)
	if err != nil {
		return err
	}
	path := s.path(snapshot.Position)
	if err := s.write(path+temporarySuffix, data); err != nil {
		return storageFailed("save", err)
	}
	if err := s.fs.Rename(path+temporarySuffix, path); err != nil {
		return storageFailed("save", err)
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return storageFailed("save", err)
	}
	return nil
}

func (s *Store) write(path string, data []byte) error {
	file, err := s.fs.Create(path)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Latest returns the latest intact snapshot, or a zero Snapshot if there is none. It renames later snapshots that are
// corrupt and returns their file names.
func (s *Store) Latest() (latest raft.Snapshot, corrupt []string, err error) {
	names, err := s.names()
	if err != nil {
		return raft.Snapshot{}, nil, err
	}
	for _, name := range slices.Backward(names) {
		snapshot, err := s.read(filepath.Join(s.dir, name))
		if err == nil {
			return snapshot, corrupt, nil
		}
		if !fault.Is(err, fault.Corrupt) {
			return raft.Snapshot{}, corrupt, err
		}
		corrupt = append(corrupt, name)
		if err := s.renameCorrupt(name); err != nil {
			return raft.Snapshot{}, corrupt, err
		}
	}
	return raft.Snapshot{}, corrupt, nil
}

func (s *Store) renameCorrupt(name string) error {
	path := filepath.Join(s.dir, name)
	if err := s.fs.Rename(path, path+corruptSuffix); err != nil {
		return storageFailed("latest", err)
	}
	return nil
}

// Load returns the snapshot at the position.
func (s *Store) Load(position raft.Position) (raft.Snapshot, error) {
	return s.read(s.path(position))
}

// Prune removes all but the latest two snapshots.
func (s *Store) Prune() error {
	names, err := s.names()
	if err != nil {
		return err
	}
	for _, name := range names[:max(0, len(names)-retainedSnapshots)] {
		if err := s.fs.RemoveAll(filepath.Join(s.dir, name)); err != nil {
			return storageFailed("prune", err)
		}
	}
	return nil
}

func (s *Store) names() ([]string, error) {
	all, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return nil, storageFailed("list", err)
	}
	return slices.DeleteFunc(all, func(name string) bool { return !strings.HasSuffix(name, suffix) }), nil
}

// path returns the file name for a position. Its numbers are fixed-width hexadecimal, so that names sort by position.
func (s *Store) path(p raft.Position) string {
	return filepath.Join(s.dir, fmt.Sprintf("%016x-%016x%s", p.Index, p.Term, suffix))
}

func (s *Store) read(path string) (raft.Snapshot, error) {
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return raft.Snapshot{}, storageFailed("read", err)
	}
	snapshot, err := decode(data)
	if err == nil && s.path(snapshot.Position) != path {
		err = fault.New(fault.Corrupt, "snapstore.read", "file contains the snapshot at index %d", snapshot.Index)
	}
	if err != nil {
		return raft.Snapshot{}, fault.New(fault.Corrupt, "snapstore.read", "%s: %w", filepath.Base(path), err)
	}
	return snapshot, nil
}

func encode(snapshot raft.Snapshot) ([]byte, error) {
	body, err := cbor.Marshal(snapshot)
	if err != nil {
		return nil, fault.New(fault.Internal, "snapstore.encode", "encode snapshot: %w", err)
	}
	out := make([]byte, 0, headerSize+len(body))
	out = append(out, magic...)
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(body, crcTable))
	return append(out, body...), nil
}

func decode(data []byte) (raft.Snapshot, error) {
	var snapshot raft.Snapshot
	if len(data) < headerSize || !bytes.HasPrefix(data, []byte(magic)) {
		return snapshot, fault.New(fault.Corrupt, "snapstore.decode", "invalid header")
	}
	body := data[headerSize:]
	if binary.LittleEndian.Uint32(data[len(magic):]) != crc32.Checksum(body, crcTable) {
		return snapshot, fault.New(fault.Corrupt, "snapstore.decode", "checksum mismatch")
	}
	if err := cbor.Unmarshal(body, &snapshot); err != nil {
		return snapshot, fault.New(fault.Corrupt, "snapstore.decode", "decode snapshot: %w", err)
	}
	return snapshot, nil
}

func storageFailed(op string, err error) error {
	return fault.New(fault.StorageFailed, "snapstore."+op, "%w", err)
}
