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

// Variants are the names of the configurations that the experiment compares.
var Variants = []string{"owner", "direct", "random", "least-outstanding", "no-hedging"}

// variantSettings holds the lines that each variant adds to the settings of the entry VMs. The default variant adds
// none, so that it also runs with binaries that lack these settings.
var variantSettings = map[string]string{
	"owner":             "",
	"direct":            "ownership = \"direct\"\n",
	"random":            "balance = \"random\"\n",
	"least-outstanding": "balance = \"least-outstanding\"\n",
	"no-hedging":        "hedging = false\n",
}

// Offsets of the port ranges from the base port.
const (
	controlPorts  = 0
	callerPorts   = 10
	entryRPCPorts = 30
	fleetPorts    = 50
	upstreamPorts = 100
)

// Cluster holds the addresses of the processes of a cluster. It is stored as cluster.json.
type Cluster struct {
	User          string   `json:"user"`
	Variant       string   `json:"variant"`
	Control       []string `json:"control"`
	Entries       []string `json:"entries"`
	Fleets        []string `json:"fleets"`
	UpstreamCount int      `json:"upstreams"`
}

// ClusterSize is the number of processes of a cluster and its first port.
type ClusterSize struct {
	Control  int
	Entries  int
	BasePort int
}

// WriteCluster writes the settings files of all processes of a cluster, its inventory and cluster.json to a directory.
func WriteCluster(dir string, deployment Deployment, variant string, size ClusterSize) error {
	variantLines, ok := variantSettings[variant]
	if !ok {
		return fault.New(fault.Settings, "load.cluster", "unknown variant %q", variant)
	}
	cluster := Cluster{User: deployment.User, Variant: variant, UpstreamCount: len(deployment.Upstreams())}
	for n := range size.Control {
		cluster.Control = append(cluster.Control, address(size.BasePort+controlPorts+n))
	}
	for n := range size.Entries {
		cluster.Entries = append(cluster.Entries, "http://"+address(size.BasePort+callerPorts+n))
	}
	for n := range deployment.Domains {
		cluster.Fleets = append(cluster.Fleets, "http://"+address(size.BasePort+fleetPorts+n))
	}
	files := controlFiles(dir, deployment, cluster)
	for name, text := range entryFiles(deployment, cluster, size, variantLines) {
		files[name] = text
	}
	for name, file := range fleetFiles(deployment, cluster, size) {
		files[name] = encodeTOML(file)
	}
	files["inventory.toml"] = encodeTOML(operatorFile{Inventory: deployment.Inventory(), Rules: deployment.Rules})
	clusterJSON, err := json.MarshalIndent(cluster, "", " ")
	if err != nil {
		return fault.New(fault.Internal, "load.cluster", "%w", err)
	}
	files["cluster.json"] = clusterJSON
	return writeFiles(dir, files)
}

// operatorFile is the content of inventory.toml, in the form that settings.LoadOperatorConfig reads.
type operatorFile struct {
	model.Inventory
	Rules []model.Rule `toml:"rule"`
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func controlFiles(dir string, deployment Deployment, cluster Cluster) map[string][]byte {
	files := map[string][]byte{}
	for n, rpc := range cluster.Control {
		name := fmt.Sprintf("control-%d", n+1)
		// Only settings without a default are written, so that all others use the defaults of the binary.
		files[name+".toml"] = fmt.Appendf(nil, "id = %q\nfailure_domain = %q\nrpc_address = %q\ndata_dir = %q\n",
			name, deployment.Domains[n%len(deployment.Domains)], rpc, filepath.Join(dir, name))
	}
	return files
}

func entryFiles(deployment Deployment, cluster Cluster, size ClusterSize, variantLines string) map[string][]byte {
	files := map[string][]byte{}
	control, _ := json.Marshal(cluster.Control)
	for n := range cluster.Entries {
		name := fmt.Sprintf("entry-%d", n+1)
		text := fmt.Sprintf("id = %q\nfailure_domain = %q\ncaller_address = %q\nrpc_address = %q\ncontrol_addresses = %s\nlame_duck_ms = 200\n%s",
			name, deployment.Domains[n%len(deployment.Domains)], address(size.BasePort+callerPorts+n), address(size.BasePort+entryRPCPorts+n), control, variantLines)
		files[name+".toml"] = []byte(text)
	}
	return files
}

// fleetFiles returns one fleet file for each failure domain. The first entry VM that a stand-in announces itself to is
// rotated, so that the announcements spread over the entry VMs.
func fleetFiles(deployment Deployment, cluster Cluster, size ClusterSize) map[string]standin.FleetFile {
	byDomain := map[string]standin.FleetFile{}
	for n, config := range deployment.Upstreams() {
		config.Announcement.Address = address(size.BasePort + upstreamPorts + n)
		first := n % len(cluster.Entries)
		config.EntryURLs = append(append([]string{}, cluster.Entries[first:]...), cluster.Entries[:first]...)
		domain := config.Announcement.FailureDomain
		file := byDomain[domain]
		file.Upstreams = append(file.Upstreams, config)
		byDomain[domain] = file
	}
	files := map[string]standin.FleetFile{}
	for n, domain := range deployment.Domains {
		file := byDomain[domain]
		file.Admin = address(size.BasePort + fleetPorts + n)
		files["fleet-"+domain+".toml"] = file
	}
	return files
}

func encodeTOML(value any) []byte {
	data, err := toml.Marshal(value)
	if err != nil {
		// All values have types that TOML can encode, so an error is a programming mistake.
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

// ReadCluster reads a cluster.json file.
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
