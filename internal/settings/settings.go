// Package settings reads and validates the TOML files of the daemons and of operators: process settings, inventories
// with rules, and route tables.
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
	// DrainMillis limits how long a stop waits for requests in flight, in ms.
	DrainMillis int `toml:"drain_ms" validate:"min=100,max=600000"`
	// Ownership, Balance and Hedging select the production algorithms (the defaults) or baselines to compare them with.
	Ownership string `toml:"ownership" validate:"oneof=owner direct"`
	Balance   string `toml:"balance" validate:"oneof=observed random least-outstanding"`
	Hedging   bool   `toml:"hedging"`
	// ResponseMemoryKB limits the memory of all responses of upstreams above 64 KB that are being read at the same time, in KB.
	ResponseMemoryKB int64 `toml:"response_memory_kb" validate:"min=1,max=16777216"`
	// TraceFile is the file that records the events of the I/O-free packages for wmux-replay. If empty, none is written.
	TraceFile string `toml:"trace_file"`
	// TLS secures the connections to control members and other entry VMs. If absent, TLS is off.
	TLS security.Files `toml:"tls"`
	// FaultRulesFile is the path of the network faults that internal/netcut injects. Only fault tests set it.
	FaultRulesFile string `toml:"fault_rules_file"`
	// Callers limits what untrusted callers make the process hold.
	Callers
}

// Control holds the settings of wmux-control.
type Control struct {
	ID            string `toml:"id" validate:"required,max=64"`
	FailureDomain string `toml:"failure_domain" validate:"required,max=64"`
	// RPCAddress is the address at which other members and entry VMs reach this member.
	RPCAddress string `toml:"rpc_address" validate:"ip_port"`
	// RPCListenAddress is the address to listen on if it differs from RPCAddress, for example behind NAT.
	RPCListenAddress string `toml:"rpc_listen_address" validate:"omitempty,ip_port"`
	// DataDir is the directory of the member's identity, Raft log and snapshots.
	DataDir string `toml:"data_dir" validate:"required"`
	// TLS secures the connections with other members, entry VMs and operators. If absent, TLS is off.
	TLS security.Files `toml:"tls"`
	// SnapshotEntries is the number of log entries after which the log is compacted. The default is high because a
	// snapshot encodes the whole booking table, and no entry is applied meanwhile.
	SnapshotEntries uint64 `toml:"snapshot_entries" validate:"min=10,max=10000000"`
	// Formation selects how the group gets its members: an operator adds them, or the group bootstraps from the seeds.
	Formation string `toml:"formation" validate:"oneof=operator seeds"`
	// Seeds are addresses of control VMs. Only their hosts are used, because all members serve RPC on the same port.
	Seeds []string `toml:"seeds" validate:"max=16,dive,ip_port"`
	// FaultTolerance is the number of members that a group formed from seeds can lose at the same time. It has up to twice as
	// many voters and one more, and holds further members ready to take a voter's place. 0 means that every member votes.
	FaultTolerance int `toml:"fault_tolerance" validate:"min=0,max=7"`
	// FirstStart is set when the whole system starts for the first time, with empty disks. The seeds then bootstrap the
	// group.
	FirstStart bool `toml:"first_start"`
	// DirectoryAddress is where upstreams register and operators manage routes over HTTP. If empty, it is not served.
	DirectoryAddress string `toml:"directory_address" validate:"omitempty,ip_port"`
	// MetricsAddress is where metrics are served over HTTP. If empty, none are served.
	MetricsAddress string `toml:"metrics_address" validate:"omitempty,ip_port"`
	// FaultRulesFile is the path of the network faults that internal/netcut injects. Only fault tests set it.
	FaultRulesFile string `toml:"fault_rules_file"`
	// Callers limits what untrusted callers make the process hold.
	Callers
}

// Router holds the settings of wmux-router.
type Router struct {
	ID            string `toml:"id" validate:"required,max=64"`
	FailureDomain string `toml:"failure_domain" validate:"required,max=64"`
	CallerAddress string `toml:"caller_address" validate:"ip_port"`
	// HealthAddress is where the load balancer's health check asks whether this VM accepts callers.
	HealthAddress string `toml:"health_address" validate:"ip_port"`
	// MetricsAddress is where metrics are served over HTTP. If empty, none are served.
	MetricsAddress string `toml:"metrics_address" validate:"omitempty,ip_port"`
	// RelayAddress is where this VM accepts, from other entry VMs, the parts of searches that run at upstreams of its
	// failure domain. If empty, this VM neither accepts such parts nor sends any.
	RelayAddress string `toml:"relay_address" validate:"omitempty,ip_port"`
	// RelayListenAddress is the address to listen on if it differs from RelayAddress.
	RelayListenAddress string `toml:"relay_listen_address" validate:"omitempty,ip_port"`
	// Seeds are addresses of control VMs. Only their hosts are used, because all members serve RPC on ControlPort.
	Seeds       []string `toml:"seeds" validate:"min=1,max=16,dive,ip_port"`
	ControlPort int      `toml:"control_port" validate:"min=1,max=65535"`
	// ExtraShare and ExtraFloor set the budget for hedges and retries of each service, for all VMs together: ExtraShare
	// is a fraction of the service's requests, and ExtraFloor the number allowed on top in each budget window.
	ExtraShare float64 `toml:"extra_share" validate:"min=0,max=1"`
	ExtraFloor float64 `toml:"extra_floor" validate:"min=0,max=100000"`
	// ExtraWindowSeconds is the length of the budget window, in s.
	ExtraWindowSeconds float64 `toml:"extra_window_s" validate:"min=0.1,max=3600"`
	// AnswerMarginMillis is how long before the time by which it must arrive a response is sent, in ms. The measured
	// round trip to the caller is added, and the time to process a response is derived from CPUShare.
	AnswerMarginMillis int `toml:"answer_margin_ms" validate:"min=0,max=1000"`
	// Admission selects how requests are refused under overload: the same fraction of all searches, or searches and forwarded
	// requests by rank, team and age.
	Admission string `toml:"admission" validate:"oneof=fraction ranked"`
	// CPUShare is the fraction of one CPU core that the process may use; it is above 1 for several cores.
	CPUShare float64 `toml:"cpu_share" validate:"min=0.01,max=1000"`
	// LameDuckMillis is how long the health check fails before the listener closes, in ms.
	LameDuckMillis int `toml:"lame_duck_ms" validate:"min=0,max=60000"`
	// DrainMillis limits how long a stop waits for requests in flight, in ms.
	DrainMillis int `toml:"drain_ms" validate:"min=100,max=600000"`
	// SearchMemoryKB limits the memory that searches in progress may take together, in KB. 0 means a fifth of MemoryMB.
	SearchMemoryKB int64 `toml:"search_memory_kb" validate:"min=0,max=16777216"`
	// MaxResponseKB limits the response to a forwarded request, and ResponseMemoryKB the memory of all responses above
	// 64 KB that are being read at the same time, in KB.
	MaxResponseKB    int64 `toml:"max_response_kb" validate:"min=1,max=1048576"`
	ResponseMemoryKB int64 `toml:"response_memory_kb" validate:"min=1,max=16777216"`
	// KeyRevokeMillis is the time in ms after the acknowledgement of a route table from which no request with a key that the table
	// has removed may run. A VM whose view no leader has confirmed for that long, less a margin, refuses requests with keys. 0
	// means that a VM keeps serving from its last view.
	KeyRevokeMillis float64 `toml:"key_revoke_ms" validate:"min=0,max=3600000"`
	// QuotaWindowSeconds is the span in s in which the requests of a team are counted. They may exceed the quota by the fraction
	// QuotaOverage and the number QuotaSlack.
	QuotaWindowSeconds float64 `toml:"quota_window_s" validate:"min=0.5,max=3600"`
	QuotaOverage       float64 `toml:"quota_overage" validate:"min=0,max=10"`
	QuotaSlack         float64 `toml:"quota_slack" validate:"min=0,max=100000"`
	// ColdOverage is the factor, and ColdSlack the number on top, by which the requests to a cold upstream in one second may exceed
	// the rate of its service for cold upstreams.
	ColdOverage float64 `toml:"cold_overage" validate:"min=1,max=100"`
	ColdSlack   float64 `toml:"cold_slack" validate:"min=0,max=100000"`
	// LogLevel is the minimum level of log events.
	LogLevel string `toml:"log_level" validate:"oneof=debug info warn error"`
	// Pace makes upstreams get a smaller share of requests after they have started or recovered.
	Pace bool `toml:"pace"`
	// TLS secures the connections to control members. If absent, TLS is off.
	TLS security.Files `toml:"tls"`
	// Callers limits what untrusted callers make the process hold.
	Callers
}

// ControlAddresses returns the RPC addresses of the seeds.
func (r Router) ControlAddresses() []string { return replacePort(r.Seeds, r.ControlPort) }

// ListenAddress returns the address on which the member listens for RPC.
func (c Control) ListenAddress() string { return cmp.Or(c.RPCListenAddress, c.RPCAddress) }

// RelayBindAddress returns the address on which the router listens for relay batches from other entry VMs.
func (r Router) RelayBindAddress() string { return cmp.Or(r.RelayListenAddress, r.RelayAddress) }

// Peers returns the RPC addresses of the seeds, with the port of this member's RPCAddress.
func (c Control) Peers() []string {
	_, port, err := net.SplitHostPort(c.RPCAddress)
	portNumber, convErr := strconv.Atoi(port)
	if err != nil || convErr != nil {
		// LoadControl rejects settings without a port.
		return nil
	}
	return replacePort(c.Seeds, portNumber)
}

// replacePort returns the addresses with their ports replaced, without those that cannot be parsed.
func replacePort(addresses []string, port int) []string {
	var replaced []string
	for _, address := range addresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			replaced = append(replaced, net.JoinHostPort(host, strconv.Itoa(port)))
		}
	}
	return replaced
}

// OperatorConfig holds the inventory and the rules that an operator applies with wmuxctl.
type OperatorConfig struct {
	model.Inventory
	Rules []model.Rule `toml:"rule"`
}

// operatorFile is the TOML form of OperatorConfig. Its rules are decoded into a copy of the default rule, so that a
// rule that sets only an objective does not permit the loss of coverage.
type operatorFile struct {
	model.Inventory
	Rules []toml.Primitive `toml:"rule"`
}

// LoadEntry reads the settings of wmux-entry.
func LoadEntry(path string) (Entry, error) {
	loaded := Entry{Callers: defaultCallers(), LameDuckMillis: 2_000, DrainMillis: 30_000, Ownership: "owner", Balance: "observed", Hedging: true, ResponseMemoryKB: 16 << 10}
	err := load(path, &loaded)
	return loaded, err
}

// LoadControl reads the settings of wmux-control.
func LoadControl(path string) (Control, error) {
	loaded := Control{Callers: defaultCallers(), SnapshotEntries: 10_000, Formation: "operator", FaultTolerance: 2}
	err := load(path, &loaded)
	return loaded, err
}

// LoadRouter reads the settings of wmux-router.
func LoadRouter(path string) (Router, error) {
	loaded := Router{Callers: defaultCallers(), ExtraShare: 0.1, ExtraFloor: 10, ExtraWindowSeconds: 10, AnswerMarginMillis: 1, CPUShare: 1, Admission: "fraction",
		LameDuckMillis: 2_300, DrainMillis: 3_000, MaxResponseKB: 8 << 10, ResponseMemoryKB: 16 << 10, LogLevel: "info",
		QuotaWindowSeconds: 5, QuotaOverage: 0.1, QuotaSlack: 20, ColdOverage: 1.5, ColdSlack: 5, Pace: true}
	err := load(path, &loaded)
	return loaded, err
}

// LoadOperatorConfig reads an inventory with its rules.
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
	return loaded, validateLoaded(path, data, meta, &loaded)
}

// load decodes a file into target and validates it.
func load(path string, target any) error {
	data, meta, err := decode(path, target)
	if err != nil {
		return err
	}
	return validateLoaded(path, data, meta, target)
}

// decode decodes a file into target and returns its content for error messages.
func decode(path string, target any) (data []byte, meta toml.MetaData, err error) {
	data, err = os.ReadFile(path)
	if err != nil {
		return nil, meta, fault.New(fault.Settings, "settings.load", "%w", err)
	}
	meta, err = toml.Decode(string(data), target)
	var parseError toml.ParseError
	switch {
	case errors.As(err, &parseError):
		return nil, meta, fault.New(fault.Settings, "settings.load", "%s:%d: %w", path, parseError.Position.Line, err)
	case err != nil:
		return nil, meta, fault.New(fault.Settings, "settings.load", "%s: %w", path, err)
	}
	return data, meta, nil
}

// searchMemoryShare is the part of the VM's memory that searches in progress may take. docs/limits.md has the sum of all parts.
const searchMemoryShare = 1.0 / 5

// SearchBytes returns how many bytes searches in progress may take together.
func (r Router) SearchBytes() int64 {
	if r.SearchMemoryKB > 0 {
		return r.SearchMemoryKB << 10
	}
	return int64(r.MemoryMB * searchMemoryShare * (1 << 20))
}
