package raftnode

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
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

// openLog opens the log and creates one with a fresh identity when the data directory is empty.
func openLog(config Config) (*wal.Log, wal.Recovered, error) {
	exists, err := wal.Exists(config.FS, config.logPath())
	if err != nil {
		return nil, wal.Recovered{}, err
	}
	if !exists {
		if err := createLog(config, wal.Checkpoint{Identity: newIdentity()}); err != nil {
			return nil, wal.Recovered{}, err
		}
	}
	return wal.Open(config.FS, config.logPath(), wal.DefaultSegmentSize)
}
