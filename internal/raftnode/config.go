package raftnode

import (
	"log/slog"
	"net"
	"path/filepath"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/wal"
)

// Defaults of Config. An election takes at most 20 ticks of silence and a few round trips, well below 2 s.
const (
	DefaultTick            = 50 * time.Millisecond
	DefaultHeartbeatTicks  = 2
	DefaultElectionTicks   = 10
	DefaultSnapshotEntries = 1000
)

const (
	logDir      = "log"
	snapshotDir = "snapshots"
)

// StateMachine is the state that the log is applied to. Calls are serialised by the Node.
type StateMachine interface {
	// Apply executes the entry at the index and returns its encoded result.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(data []byte) error
}

// Dialer opens a connection to an address.
type Dialer func(address string) (net.Conn, error)

// Config describes one control member. Name, Address, Dir, Dial and Machine are required.
type Config struct {
	// Name is the name of the member in its settings; Leader returns it.
	Name string
	// Address is where the other members reach this member's RPC server.
	Address string
	// Dir is the data directory, owned by this member alone.
	Dir     string
	Dial    Dialer
	Machine StateMachine
	Log     *slog.Logger

	// Tick is the unit of the heartbeat and election timeouts.
	Tick           time.Duration
	HeartbeatTicks int
	// ElectionTicks is the shortest election timeout; the longest is twice that.
	ElectionTicks int
	// SnapshotEntries is the number of applied entries after which the log is compacted.
	SnapshotEntries uint64
	// FS replaces the file access in tests.
	FS wal.FS
}

func (c Config) withDefaults() Config {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Tick <= 0 {
		c.Tick = DefaultTick
	}
	if c.HeartbeatTicks <= 0 {
		c.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if c.ElectionTicks <= 0 {
		c.ElectionTicks = DefaultElectionTicks
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.FS == nil {
		c.FS = wal.OS{}
	}
	return c
}

func (c Config) check() error {
	switch {
	case c.Name == "":
		return fault.New(fault.Settings, "raftnode.config", "name is empty")
	case c.Address == "":
		return fault.New(fault.Settings, "raftnode.config", "address is empty")
	case c.Dir == "":
		return fault.New(fault.Settings, "raftnode.config", "data directory is empty")
	case c.ElectionTicks <= c.HeartbeatTicks:
		return fault.New(fault.Settings, "raftnode.config", "election timeout of %d ticks must exceed the heartbeat of %d",
			c.ElectionTicks, c.HeartbeatTicks)
	}
	return nil
}

// checkOpen also checks what only a running member needs.
func (c Config) checkOpen() error {
	if c.Dial == nil {
		return fault.New(fault.Settings, "raftnode.config", "dialer is missing")
	}
	if c.Machine == nil {
		return fault.New(fault.Settings, "raftnode.config", "state machine is missing")
	}
	return c.check()
}

func (c Config) logPath() string { return filepath.Join(c.Dir, logDir) }

func (c Config) snapshotPath() string { return filepath.Join(c.Dir, snapshotDir) }
