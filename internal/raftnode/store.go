package raftnode

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"os"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
	"github.com/wisteriamux/wisteriamux/internal/snapstore"
	"github.com/wisteriamux/wisteriamux/internal/wal"
)

// Bootstrap initializes an empty data directory as a new group whose only voter is this member. It returns
// fault.Conflict if the directory already holds a log.
func Bootstrap(config Config) error {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return err
	}
	identity := newIdentity()
	self := raft.Member{ID: identity, Name: config.Name, Address: config.Address, Voter: true}
	group := raft.Membership{Members: []raft.Member{self}}
	first := raft.Entry{Index: 1, Term: 1, Kind: raft.EntryMembership, Data: raft.EncodeMembership(group)}
	return createLog(config, wal.Checkpoint{
		Identity: identity,
		State:    raft.HardState{Term: 1, Commit: 1},
		Entries:  []raft.Entry{first},
	})
}

// Seed is an initial voter of a group.
type Seed struct {
	Name    string
	Address string
}

// BootstrapGroup initializes an empty data directory as one of the initial voters of a group. All seeds derive the same
// membership and identities from the same list. They can therefore start in any order, or partitioned from each other,
// and still form only one group, because every election needs a majority of the list. The derived identity is used only
// for this first start: a seed that loses its disk gets a random identity and is not a voter.
func BootstrapGroup(config Config, seeds []Seed) error {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return err
	}
	var group raft.Membership
	var identity uint64
	for _, seed := range seeds {
		id := seedIdentity(seed)
		if seed.Name == config.Name {
			identity = id
		}
		group.Members = append(group.Members, raft.Member{ID: id, Name: seed.Name, Address: seed.Address, Voter: true})
	}
	if identity == 0 {
		return fault.New(fault.Settings, "raftnode.bootstrap", "%s is not one of the seeds", config.Name)
	}
	slices.SortFunc(group.Members, func(a, b raft.Member) int { return cmp.Compare(a.ID, b.ID) })
	first := raft.Entry{Index: 1, Term: 1, Kind: raft.EntryMembership, Data: raft.EncodeMembership(group)}
	return createLog(config, wal.Checkpoint{
		Identity: identity,
		State:    raft.HardState{Term: 1, Commit: 1},
		Entries:  []raft.Entry{first},
	})
}

// HasLog reports whether the data directory already holds the log of a member.
func HasLog(config Config) (bool, error) {
	config = config.withDefaults()
	return wal.Exists(config.FS, config.logPath())
}

func seedIdentity(seed Seed) uint64 {
	return max(1, xxhash.Sum64String("seed|"+seed.Name+"|"+seed.Address))
}

// createLog creates a log in a data directory that holds neither a log nor snapshots.
func createLog(config Config, checkpoint wal.Checkpoint) error {
	exists, err := wal.Exists(config.FS, config.logPath())
	if err != nil {
		return err
	}
	if exists {
		return fault.New(fault.Conflict, "raftnode.bootstrap", "data directory %s already holds a log", config.Dir)
	}
	snapshots, err := config.FS.ReadDir(config.snapshotPath())
	if err != nil {
		return fault.New(fault.StorageFailed, "raftnode.open", "list snapshots: %w", err)
	}
	if len(snapshots) > 0 {
		return fault.New(fault.Corrupt, "raftnode.open", "data directory %s holds snapshots but no log; empty it to rejoin the group", config.Dir)
	}
	if err := config.FS.MkdirAll(config.Dir); err != nil {
		return fault.New(fault.StorageFailed, "raftnode.open", "create data directory: %w", err)
	}
	return wal.Create(config.FS, config.logPath(), checkpoint)
}

// newIdentity returns a random nonzero identity. Zero means no member.
func newIdentity() uint64 {
	var raw [8]byte
	for {
		// crypto/rand.Read never fails.
		_, _ = rand.Read(raw[:])
		if id := binary.LittleEndian.Uint64(raw[:]); id != 0 {
			return id
		}
	}
}

// storage is the persistent state of a member.
type storage struct {
	lock      *os.File
	log       *wal.Log
	snapshots *snapstore.Store
	recovered wal.Recovered
	snapshot  raft.Snapshot
	// corruptSnapshots holds the file names of the corrupt snapshots that were found at startup.
	corruptSnapshots []string
}

// openStorage opens the data directory. If it has no log, it creates one with a new identity.
func openStorage(config Config) (*storage, error) {
	if err := config.FS.MkdirAll(config.Dir); err != nil {
		return nil, fault.New(fault.StorageFailed, "raftnode.open", "create data directory: %w", err)
	}
	lock, err := lockDir(config.Dir)
	if err != nil {
		return nil, err
	}
	s := &storage{lock: lock}
	if err := s.open(config); err != nil {
		_ = s.close()
		return nil, err
	}
	return s, nil
}

func (s *storage) open(config Config) error {
	exists, err := wal.Exists(config.FS, config.logPath())
	if err != nil {
		return err
	}
	if !exists {
		if err := createLog(config, wal.Checkpoint{Identity: newIdentity()}); err != nil {
			return err
		}
	}
	if s.log, s.recovered, err = wal.Open(config.FS, config.logPath(), wal.DefaultSegmentSize); err != nil {
		return err
	}
	if s.snapshots, err = snapstore.Open(config.FS, config.snapshotPath()); err != nil {
		return err
	}
	if s.snapshot, s.corruptSnapshots, err = s.snapshots.Latest(); err != nil {
		return err
	}
	return s.completeInstall()
}

// completeInstall completes the installation of a received snapshot if a crash interrupted it after the snapshot was
// persisted: the log then has no entry at the snapshot's position and is replaced.
func (s *storage) completeInstall() error {
	c := &s.recovered.Checkpoint
	if s.snapshot.Index <= c.Compacted.Index {
		if s.snapshot.Index < c.Compacted.Index {
			return fault.New(fault.Corrupt, "raftnode.open", "log starts after index %d, but the latest intact snapshot is at index %d",
				c.Compacted.Index, s.snapshot.Index)
		}
		return nil
	}
	at := s.snapshot.Index - c.Compacted.Index - 1
	if at < uint64(len(c.Entries)) && c.Entries[at].Term == s.snapshot.Term {
		return nil
	}
	state := c.State
	state.Commit = s.snapshot.Index
	if state.Term < s.snapshot.Term {
		state = raft.HardState{Term: s.snapshot.Term, Commit: s.snapshot.Index}
	}
	*c = wal.Checkpoint{Identity: c.Identity, Compacted: s.snapshot.Position, State: state}
	return s.log.Compact(*c)
}

// snapshotMetadata returns the metadata of the snapshot for the RawNode.
func (s *storage) snapshotMetadata() raft.SnapshotMetadata { return metadataOf(s.snapshot) }

func metadataOf(s raft.Snapshot) raft.SnapshotMetadata {
	return raft.SnapshotMetadata{Position: s.Position, Membership: s.Membership, Size: uint64(len(s.Data))}
}

// install persists a snapshot received from the leader and replaces the log with it.
func (s *storage) install(snapshot raft.Snapshot, state raft.HardState) error {
	if err := s.snapshots.Save(snapshot); err != nil {
		return err
	}
	if err := s.log.Compact(wal.Checkpoint{Compacted: snapshot.Position, State: state}); err != nil {
		return err
	}
	return s.snapshots.Prune()
}

func (s *storage) close() error {
	var err error
	if s.log != nil {
		err = s.log.Close()
	}
	_ = s.lock.Close()
	return err
}
