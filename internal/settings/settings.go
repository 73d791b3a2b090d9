// Package settings reads and checks the TOML files of daemons and operators.
package settings

import (
	"os"

	"github.com/BurntSushi/toml"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

// Entry holds the settings of wmux-entry.
type Entry struct {
	ID               string   `toml:"id"`
	FailureDomain    string   `toml:"failure_domain"`
	CallerAddress    string   `toml:"caller_address"`
	RPCAddress       string   `toml:"rpc_address"`
	ControlAddresses []string `toml:"control_addresses"`
	LameDuckMillis   int      `toml:"lame_duck_ms"`
	DrainMillis      int      `toml:"drain_ms"`
	// Ownership is "owner" or "direct", Balance "observed", "random" or "least-outstanding".
	Ownership string `toml:"ownership"`
	Balance   string `toml:"balance"`
	Hedging   bool   `toml:"hedging"`
}

// Control holds the settings of wmux-control.
type Control struct {
	ID            string `toml:"id"`
	FailureDomain string `toml:"failure_domain"`
	RPCAddress    string `toml:"rpc_address"`
	DataDir       string `toml:"data_dir"`
	// FaultRulesFile names the rules of internal/netcut. It is set only in fault tests.
	FaultRulesFile string `toml:"fault_rules_file"`
}

// Operator holds the inventory and the rules that an operator applies.
type Operator struct {
	model.Inventory
	Rules []model.Rule `toml:"rule"`
}

// LoadEntry reads the settings of wmux-entry.
func LoadEntry(path string) (Entry, error) {
	loaded := Entry{LameDuckMillis: 2_000, DrainMillis: 30_000, Ownership: "owner", Balance: "observed", Hedging: true}
	err := load(path, &loaded)
	return loaded, err
}

// LoadControl reads the settings of wmux-control.
func LoadControl(path string) (Control, error) {
	var loaded Control
	err := load(path, &loaded)
	return loaded, err
}

// LoadOperator reads an inventory with rules.
func LoadOperator(path string) (Operator, error) {
	var loaded Operator
	err := load(path, &loaded)
	return loaded, err
}

func load(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.New(fault.Settings, "settings.load", "%w", err)
	}
	meta, err := toml.Decode(string(data), into)
	if err != nil {
		return fault.New(fault.Settings, "settings.load", "%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fault.New(fault.Settings, "settings.load", "%s: unknown key %q", path, unknown[0].String())
	}
	return nil
}
