package load

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/standin"
)

// Variants are the settings that the experiment compares.
var Variants = []string{"owner", "direct", "random", "least-outstanding", "no-hedging"}

// variantSettings are the lines that a variant adds to the settings of the entry daemons. The default variant adds
// none, so that it also runs against daemons without these settings.
var variantSettings = map[string]string{
	"owner":             "",
	"direct":            "ownership = \"direct\"\n",
	"random":            "balance = \"random\"\n",
	"least-outstanding": "balance = \"least-outstanding\"\n",
	"no-hedging":        "hedging = false\n",
}

// Offsets of the ports from the base port.
const (
	controlPorts  = 0
	callerPorts   = 10
	entryRPCPorts = 30
	fleetPorts    = 50
	upstreamPorts = 100
)

// Cluster tells the experiment where the processes listen.
type Cluster struct {
	User          string   `json:"user"`
	Variant       string   `json:"variant"`
	Control       []string `json:"control"`
	Entries       []string `json:"entries"`
	Fleets        []string `json:"fleets"`
	UpstreamCount int      `json:"upstreams"`
}

// ClusterSize is the number of processes of a cluster.
type ClusterSize struct {
	Control  int
	Entries  int
	BasePort int
}

// WriteCluster writes the settings of every process of a cluster, its inventory and cluster.json into the directory.
func WriteCluster(dir string, shape Deployment, variant string, size ClusterSize) error {
	extra, ok := variantSettings[variant]
	if !ok {
		return fault.New(fault.Settings, "load.cluster", "unknown variant %q", variant)
	}
	cluster := Cluster{User: shape.User, Variant: variant, UpstreamCount: len(shape.Upstreams())}
	for n := range size.Control {
		cluster.Control = append(cluster.Control, address(size.BasePort+controlPorts+n))
	}
	for n := range size.Entries {
		cluster.Entries = append(cluster.Entries, "http://"+address(size.BasePort+callerPorts+n))
	}
	for n := range shape.Domains {
		cluster.Fleets = append(cluster.Fleets, "http://"+address(size.BasePort+fleetPorts+n))
	}
	files := controlFiles(dir, shape, cluster)
	for name, text := range entryFiles(shape, cluster, size, extra) {
		files[name] = text
	}
	for name, file := range fleetFiles(shape, cluster, size) {
		files[name] = encodeTOML(file)
	}
	files["inventory.toml"] = encodeTOML(operatorFile{Inventory: shape.Inventory(), Rules: shape.Rules})
	described, err := json.MarshalIndent(cluster, "", " ")
	if err != nil {
		return fault.New(fault.Internal, "load.cluster", "%w", err)
	}
	files["cluster.json"] = described
	return writeFiles(dir, files)
}

// operatorFile is the file form of settings.Operator, which leaves its rules out when it is encoded.
type operatorFile struct {
	model.Inventory
	Rules []model.Rule `toml:"rule"`
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func controlFiles(dir string, shape Deployment, cluster Cluster) map[string][]byte {
	files := map[string][]byte{}
	for n, rpc := range cluster.Control {
		name := fmt.Sprintf("control-%d", n+1)
		// Only the settings without a default are written, so that new ones keep theirs.
		files[name+".toml"] = fmt.Appendf(nil, "id = %q\nfailure_domain = %q\nrpc_address = %q\ndata_dir = %q\n",
			name, shape.Domains[n%len(shape.Domains)], rpc, filepath.Join(dir, name))
	}
	return files
}

func entryFiles(shape Deployment, cluster Cluster, size ClusterSize, extra string) map[string][]byte {
	files := map[string][]byte{}
	control, _ := json.Marshal(cluster.Control)
	for n := range cluster.Entries {
		name := fmt.Sprintf("entry-%d", n+1)
		text := fmt.Sprintf("id = %q\nfailure_domain = %q\ncaller_address = %q\nrpc_address = %q\ncontrol_addresses = %s\nlame_duck_ms = 200\n%s",
			name, shape.Domains[n%len(shape.Domains)], address(size.BasePort+callerPorts+n), address(size.BasePort+entryRPCPorts+n), control, extra)
		files[name+".toml"] = []byte(text)
	}
	return files
}

// fleetFiles puts the stand-ins of each failure domain into one process. Each stand-in starts announcing at another
// entry VM.
func fleetFiles(shape Deployment, cluster Cluster, size ClusterSize) map[string]standin.FleetFile {
	byDomain := map[string]standin.FleetFile{}
	for n, config := range shape.Upstreams() {
		config.Announcement.Address = address(size.BasePort + upstreamPorts + n)
		first := n % len(cluster.Entries)
		config.EntryURLs = append(append([]string{}, cluster.Entries[first:]...), cluster.Entries[:first]...)
		domain := config.Announcement.FailureDomain
		file := byDomain[domain]
		file.Upstreams = append(file.Upstreams, config)
		byDomain[domain] = file
	}
	files := map[string]standin.FleetFile{}
	for n, domain := range shape.Domains {
		file := byDomain[domain]
		file.Admin = address(size.BasePort + fleetPorts + n)
		files["fleet-"+domain+".toml"] = file
	}
	return files
}

func encodeTOML(value any) []byte {
	data, err := toml.Marshal(value)
	if err != nil {
		// The values are built here from types that TOML can hold.
		panic(err)
	}
	return data
}

func writeFiles(dir string, files map[string][]byte) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fault.New(fault.StorageFailed, "load.cluster", "%w", err)
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return fault.New(fault.StorageFailed, "load.cluster", "%w", err)
		}
	}
	return nil
}

// ReadCluster reads a cluster.json.
func ReadCluster(path string) (Cluster, error) {
	var cluster Cluster
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, &cluster)
	}
	if err != nil {
		return cluster, fault.New(fault.Settings, "load.cluster", "%s: %w", path, err)
	}
	return cluster, nil
}
