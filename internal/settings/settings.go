// Package settings reads and checks the TOML files of daemons and operators.
package settings

import (
	"errors"
	"os"

	"github.com/BurntSushi/toml"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/security"
)

// Entry holds the settings of wmux-entry.
type Entry struct {
	ID               string   `toml:"id" validate:"required,max=64"`
	FailureDomain    string   `toml:"failure_domain" validate:"required,max=64"`
	CallerAddress    string   `toml:"caller_address" validate:"ip_port"`
	RPCAddress       string   `toml:"rpc_address" validate:"ip_port"`
	ControlAddresses []string `toml:"control_addresses" validate:"min=1,max=7,dive,ip_port"`
	// LameDuckMillis is how long the health check fails before the listener closes, in ms.
	LameDuckMillis int `toml:"lame_duck_ms" validate:"min=0,max=60000"`
	// DrainMillis bounds the wait for requests in flight at a stop, in ms.
	DrainMillis int `toml:"drain_ms" validate:"min=100,max=600000"`
	// Ownership, Balance and Hedging select between the design and its baselines.
	Ownership string `toml:"ownership" validate:"oneof=owner direct"`
	Balance   string `toml:"balance" validate:"oneof=observed random least-outstanding"`
	Hedging   bool   `toml:"hedging"`
	// TraceFile records the events of the decision packages for wmux-replay; empty records nothing.
	TraceFile string `toml:"trace_file"`
	// TLS secures the connections to control members and other entry VMs; absent means none.
	TLS security.Files `toml:"tls"`
	// FaultRulesFile names the rules of internal/netcut. It is set only in fault tests.
	FaultRulesFile string `toml:"fault_rules_file"`
}

// Control holds the settings of wmux-control.
type Control struct {
	ID            string `toml:"id" validate:"required,max=64"`
	FailureDomain string `toml:"failure_domain" validate:"required,max=64"`
	RPCAddress    string `toml:"rpc_address" validate:"ip_port"`
	// DataDir holds the member's identity, log and snapshots.
	DataDir string `toml:"data_dir" validate:"required"`
	// TLS secures the connections of members, entry VMs and operators; absent means none.
	TLS security.Files `toml:"tls"`
	// SnapshotEntries is the number of log entries after which the log is compacted. The default is high because each
	// snapshot encodes the whole table of bookings, which stops the log meanwhile.
	SnapshotEntries uint64 `toml:"snapshot_entries" validate:"min=10,max=10000000"`
	// FaultRulesFile names the rules of internal/netcut. It is set only in fault tests.
	FaultRulesFile string `toml:"fault_rules_file"`
}

// Operator holds the inventory and the rules that an operator applies.
type Operator struct {
	model.Inventory
	Rules []model.Rule `toml:"rule"`
}

// operatorFile is the file form of Operator. Rules are decoded over their defaults, so that a rule that only sets an
// objective does not permit the loss of coverage.
type operatorFile struct {
	model.Inventory
	Rules []toml.Primitive `toml:"rule"`
}

// LoadEntry reads the settings of wmux-entry.
func LoadEntry(path string) (Entry, error) {
	loaded := Entry{LameDuckMillis: 2_000, DrainMillis: 30_000, Ownership: "owner", Balance: "observed", Hedging: true}
	err := load(path, &loaded)
	return loaded, err
}

// LoadControl reads the settings of wmux-control.
func LoadControl(path string) (Control, error) {
	loaded := Control{SnapshotEntries: 10_000}
	err := load(path, &loaded)
	return loaded, err
}

// LoadOperator reads an inventory with rules.
func LoadOperator(path string) (Operator, error) {
	var file operatorFile
	data, meta, err := decode(path, &file)
	if err != nil {
		return Operator{}, err
	}
	loaded := Operator{Inventory: file.Inventory}
	for _, raw := range file.Rules {
		rule := model.DefaultRule("")
		if err := meta.PrimitiveDecode(raw, &rule); err != nil {
			return Operator{}, fault.New(fault.Settings, "settings.load", "%s: rule %d: %w", path, len(loaded.Rules)+1, err)
		}
		loaded.Rules = append(loaded.Rules, rule)
	}
	return loaded, check(path, data, meta, &loaded)
}

func load(path string, into any) error {
	data, meta, err := decode(path, into)
	if err != nil {
		return err
	}
	return check(path, data, meta, into)
}

func decode(path string, into any) (data []byte, meta toml.MetaData, err error) {
	data, err = os.ReadFile(path)
	if err != nil {
		return nil, meta, fault.New(fault.Settings, "settings.load", "%w", err)
	}
	meta, err = toml.Decode(string(data), into)
	var parse toml.ParseError
	switch {
	case errors.As(err, &parse):
		return nil, meta, fault.New(fault.Settings, "settings.load", "%s:%d: %w", path, parse.Position.Line, err)
	case err != nil:
		return nil, meta, fault.New(fault.Settings, "settings.load", "%s: %w", path, err)
	}
	return data, meta, nil
}
