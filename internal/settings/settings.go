// Package settings reads and checks the TOML files of daemons and operators.
package settings

import (
	"cmp"
	"errors"
	"net"
	"os"
	"strconv"

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
	// RPCAddress is where the other members and entry VMs reach this member.
	RPCAddress string `toml:"rpc_address" validate:"ip_port"`
	// RPCListenAddress is where it listens if that is not RPCAddress, for example behind address translation.
	RPCListenAddress string `toml:"rpc_listen_address" validate:"omitempty,ip_port"`
	// DataDir holds the member's identity, log and snapshots.
	DataDir string `toml:"data_dir" validate:"required"`
	// TLS secures the connections of members, entry VMs and operators; absent means none.
	TLS security.Files `toml:"tls"`
	// SnapshotEntries is the number of log entries after which the log is compacted. The default is high because each
	// snapshot encodes the whole table of bookings, which stops the log meanwhile.
	SnapshotEntries uint64 `toml:"snapshot_entries" validate:"min=10,max=10000000"`
	// Formation tells how the group gets its members: an operator adds them, or the group forms from the seeds.
	Formation string `toml:"formation" validate:"oneof=operator seeds"`
	// Seeds are addresses of control VMs. Only their hosts count: all members serve RPC on the same port.
	Seeds []string `toml:"seeds" validate:"max=16,dive,ip_port"`
	// FirstStart is set when the whole system starts for the first time, with empty disks. The seeds then found the group.
	FirstStart bool `toml:"first_start"`
	// DirectoryAddress is where upstreams and operators of routes are served over HTTP; empty serves none.
	DirectoryAddress string `toml:"directory_address" validate:"omitempty,ip_port"`
	// MetricsAddress is where metrics are served over HTTP; empty serves none.
	MetricsAddress string `toml:"metrics_address" validate:"omitempty,ip_port"`
	// FaultRulesFile names the rules of internal/netcut. It is set only in fault tests.
	FaultRulesFile string `toml:"fault_rules_file"`
}

// Router holds the settings of wmux-router.
type Router struct {
	ID            string `toml:"id" validate:"required,max=64"`
	FailureDomain string `toml:"failure_domain" validate:"required,max=64"`
	CallerAddress string `toml:"caller_address" validate:"ip_port"`
	// HealthAddress is where the balancer asks whether this VM takes callers.
	HealthAddress string `toml:"health_address" validate:"ip_port"`
	// MetricsAddress is where metrics are served over HTTP; empty serves none.
	MetricsAddress string `toml:"metrics_address" validate:"omitempty,ip_port"`
	// RelayAddress is where other entry VMs have parts of searches run at upstreams of this failure domain; empty takes
	// none and sends none.
	RelayAddress string `toml:"relay_address" validate:"omitempty,ip_port"`
	// RelayListenAddress is where it listens for them if that is not RelayAddress.
	RelayListenAddress string `toml:"relay_listen_address" validate:"omitempty,ip_port"`
	// Seeds are addresses of control VMs. Only their hosts count: all members serve RPC on ControlPort.
	Seeds       []string `toml:"seeds" validate:"min=1,max=16,dive,ip_port"`
	ControlPort int      `toml:"control_port" validate:"min=1,max=65535"`
	// ExtraShare is the part of a service's requests that all VMs together may send in addition as hedges and retries,
	// and ExtraFloor the number that they may send besides in one budget window.
	ExtraShare float64 `toml:"extra_share" validate:"min=0,max=1"`
	ExtraFloor float64 `toml:"extra_floor" validate:"min=0,max=100000"`
	// ExtraWindowSeconds is the budget window, in s.
	ExtraWindowSeconds float64 `toml:"extra_window_s" validate:"min=0.1,max=3600"`
	// AnswerMarginMillis is how long before it must arrive an answer leaves, in ms. The round trip to the caller is
	// observed and added, and the time to process an answer follows from CPUShare.
	AnswerMarginMillis int `toml:"answer_margin_ms" validate:"min=0,max=1000"`
	// CPUShare is the share of one core that the process gets.
	CPUShare float64 `toml:"cpu_share" validate:"min=0.01,max=1000"`
	// LameDuckMillis is how long the health check fails before the listener closes, in ms.
	LameDuckMillis int `toml:"lame_duck_ms" validate:"min=0,max=60000"`
	// DrainMillis bounds the wait for requests in flight at a stop, in ms.
	DrainMillis int `toml:"drain_ms" validate:"min=100,max=600000"`
	// LogLevel is the least level of events that are logged.
	LogLevel string `toml:"log_level" validate:"oneof=debug info warn error"`
	// TLS secures the connections to control members; absent means none.
	TLS security.Files `toml:"tls"`
}

// ControlAddresses returns the RPC addresses of the seeds.
func (r Router) ControlAddresses() []string { return withPort(r.Seeds, r.ControlPort) }

// ListenAddress is where the member listens for RPC.
func (c Control) ListenAddress() string { return cmp.Or(c.RPCListenAddress, c.RPCAddress) }

// RelayBindAddress is where the router listens for batches of other entry VMs.
func (r Router) RelayBindAddress() string { return cmp.Or(r.RelayListenAddress, r.RelayAddress) }

// Peers returns the RPC addresses of the seeds. The port is that of this member.
func (c Control) Peers() []string {
	_, port, err := net.SplitHostPort(c.RPCAddress)
	number, convErr := strconv.Atoi(port)
	if err != nil || convErr != nil {
		// Load refuses settings without a port.
		return nil
	}
	return withPort(c.Seeds, number)
}

func withPort(addresses []string, port int) []string {
	var out []string
	for _, address := range addresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(port)))
		}
	}
	return out
}

// OperatorConfig holds the inventory and the rules that an operator applies.
type OperatorConfig struct {
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
	loaded := Control{SnapshotEntries: 10_000, Formation: "operator"}
	err := load(path, &loaded)
	return loaded, err
}

// LoadRouter reads the settings of wmux-router.
func LoadRouter(path string) (Router, error) {
	loaded := Router{ExtraShare: 0.1, ExtraFloor: 10, ExtraWindowSeconds: 10, AnswerMarginMillis: 1, CPUShare: 1, LameDuckMillis: 2_300, DrainMillis: 3_000, LogLevel: "info"}
	err := load(path, &loaded)
	return loaded, err
}

// LoadOperatorConfig reads an inventory with rules.
func LoadOperatorConfig(path string) (OperatorConfig, error) {
	var file operatorFile
	data, meta, err := decode(path, &file)
	if err != nil {
		return OperatorConfig{}, err
	}
	loaded := OperatorConfig{Inventory: file.Inventory}
	for _, raw := range file.Rules {
		rule := model.DefaultRule("")
		if err := meta.PrimitiveDecode(raw, &rule); err != nil {
			return OperatorConfig{}, fault.New(fault.Settings, "settings.load", "%s: rule %d: %w", path, len(loaded.Rules)+1, err)
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
