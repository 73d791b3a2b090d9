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

// Bootstrap initialises an empty data directory as a group whose only voter is this member. It refuses a directory
// that already holds a log with fault.Conflict.
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

// Seed is a founding voter of a group.
type Seed struct {
	Name    string
	Address string
}

// BootstrapGroup initialises an empty data directory as one of the founding voters of a group. Every founder derives
// the same membership and the same identities from the same list, so that founders that start in any order, or apart
// from each other, can only form one group: every election needs a majority of that list. The identities are bound to
// this first start; a founder that loses its disk returns with a random identity and is no voter.
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
		return fault.New(fault.Settings, "raftnode.bootstrap", "%s is not among the seeds", config.Name)
	}
	slices.SortFunc(group.Members, func(a, b raft.Member) int { return cmp.Compare(a.ID, b.ID) })
	first := raft.Entry{Index: 1, Term: 1, Kind: raft.EntryMembership, Data: raft.EncodeMembership(group)}
	return createLog(config, wal.Checkpoint{
		Identity: identity,
		State:    raft.HardState{Term: 1, Commit: 1},
		Entries:  []raft.Entry{first},
	})
}

// HasLog reports whether the data directory belongs to a member already.
func HasLog(config Config) (bool, error) {
	config = config.withDefaults()
	return wal.Exists(config.FS, config.logPath())
}

func seedIdentity(seed Seed) uint64 {
	return max(1, xxhash.Sum64String("seed|"+seed.Name+"|"+seed.Address))
}

// createLog creates the log of a data directory that has none.
func createLog(config Config, checkpoint wal.Checkpoint) error {
	exists, err := wal.Exists(config.FS, config.logPath())
	if err != nil {
		return err
	}
	if exists {
		return fault.New(fault.Conflict, "raftnode.bootstrap", "%s already holds a log", config.Dir)
	}
	snapshots, err := config.FS.ReadDir(config.snapshotPath())
	if err != nil {
		return fault.New(fault.StorageFailed, "raftnode.open", "%w", err)
	}
	if len(snapshots) > 0 {
		return fault.New(fault.Corrupt, "raftnode.open", "%s holds snapshots but no log; empty it to rejoin", config.Dir)
	}
	if err := config.FS.MkdirAll(config.Dir); err != nil {
		return fault.New(fault.StorageFailed, "raftnode.open", "%w", err)
	}
	return wal.Create(config.FS, config.logPath(), checkpoint)
}

// newIdentity returns a random identity other than zero, which stands for none.
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

// storage is everything durable of one member.
type storage struct {
	lock      *os.File
	log       *wal.Log
	snapshots *snapstore.Store
	recovered wal.Recovered
	snapshot  raft.Snapshot
	// corruptSnapshots names snapshots that failed their checksum.
	corruptSnapshots []string
}

// openStorage opens the data directory, and initialises it with a fresh identity when it is empty.
func openStorage(config Config) (*storage, error) {
	if err := config.FS.MkdirAll(config.Dir); err != nil {
		return nil, fault.New(fault.StorageFailed, "raftnode.open", "%w", err)
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

// completeInstall completes the installation of a snapshot that a crash interrupted after the snapshot was durable: the log
// then lacks the snapshot's position and is replaced by it.
func (s *storage) completeInstall() error {
	c := &s.recovered.Checkpoint
	if s.snapshot.Index <= c.Compacted.Index {
		if s.snapshot.Index < c.Compacted.Index {
			return fault.New(fault.Corrupt, "raftnode.open", "log starts after %d; the newest intact snapshot is at %d",
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

// snapshotMetadata describes the snapshot to the consensus machine.
func (s *storage) snapshotMetadata() raft.SnapshotMetadata { return metadataOf(s.snapshot) }

func metadataOf(s raft.Snapshot) raft.SnapshotMetadata {
	return raft.SnapshotMetadata{Position: s.Position, Membership: s.Membership, Size: uint64(len(s.Data))}
}

// install makes a received snapshot durable and lets it replace the log.
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
