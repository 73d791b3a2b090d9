package raftnode

import (
	"log/slog"
	"net"
	"path/filepath"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/wal"
)

// Defaults of Config. With them, a failed leader is replaced within 20 ticks and a few round trips, well below 2 s.
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

// StateMachine is the replicated state machine. The Node never calls its methods concurrently.
type StateMachine interface {
	// Apply applies the committed command at the index and returns its encoded result.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot.
	Restore(data []byte) error
}

// RecoveryObserver is implemented by state machines that want to know the commands in the recovered log before Open returns. Commands
// at the end of it may not be known to be committed until a leader is elected, and may never be committed.
type RecoveryObserver interface {
	// Recovered is called for each command in the recovered log, in order.
	Recovered(index uint64, data []byte)
}

// Dialer opens a connection to an address.
type Dialer func(address string) (net.Conn, error)

// Config configures the Node of a control member. Name, Address, Dir, Dial and Machine are required.
type Config struct {
	// Name is the name of the member from its settings. Node.Leader returns the name of the leader.
	Name string
	// Address is the address at which the other members reach this member's RPC server.
	Address string
	// Dir is the data directory. No other member may use it.
	Dir  string
	Dial Dialer
	// Machine is the state machine that committed commands are applied to.
	Machine StateMachine
	Log     *slog.Logger

	// Tick is the unit of the heartbeat and election timeouts.
	Tick           time.Duration
	HeartbeatTicks int
	// ElectionTicks is the minimum election timeout; the maximum is twice as long.
	ElectionTicks int
	// MaxVoters is the number of voters up to which learners are promoted automatically; 0 means all of them.
	MaxVoters int
	// SnapshotEntries is the minimum number of entries applied between two snapshots, each of which compacts the log.
	SnapshotEntries uint64
	// FS is the file system; tests replace it to inject failures.
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
		return fault.New(fault.Settings, "raftnode.config", "election timeout of %d ticks must exceed the heartbeat interval of %d ticks",
			c.ElectionTicks, c.HeartbeatTicks)
	}
	return nil
}

// checkOpen also checks the fields that only Open requires.
func (c Config) checkOpen() error {
	if c.Dial == nil {
		return fault.New(fault.Settings, "raftnode.config", "dialer is not set")
	}
	if c.Machine == nil {
		return fault.New(fault.Settings, "raftnode.config", "state machine is not set")
	}
	return c.check()
}

func (c Config) logPath() string { return filepath.Join(c.Dir, logDir) }

func (c Config) snapshotPath() string { return filepath.Join(c.Dir, snapshotDir) }
