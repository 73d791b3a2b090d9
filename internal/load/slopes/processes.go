package slopes

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/procfs"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/load"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownership"
)

// Sizes at which the measurements against processes run.
var (
	fanOuts      = []int{1, 10, 20, 35, 50}
	queryRates   = []float64{50, 100, 200, 300}
	heldQueries  = []int{2, 4, 7, 11}
	leaseHolders = []int{25, 50, 100, 200, 400}
	changeCounts = []int{10, 20, 40, 80}
	viewCounts   = []int{500, 1_000, 2_000, 4_000}
)

const (
	fanOutRate      = 60
	measureTime     = 4 * time.Second
	idleMeasureTime = 4 * time.Second
	queryTimeout    = 390 * time.Millisecond
	heldTimeout     = 20 * time.Second
	// heldSlowFactor and heldDuration configure the slow period that keeps queries in flight while memory is measured.
	heldSlowFactor  = 75
	heldDuration    = 700 * time.Millisecond
	renewPeriod     = time.Second
	callTimeout     = 5 * time.Second
	microsPerSecond = 1e6
)

// Processes measures the processes of a running cluster on the same machine.
type Processes struct {
	Cluster    load.Cluster
	Deployment load.Deployment
	pids       map[string]int
}

// ReadProcesses reads the process IDs from a file with lines of the form "NAME PID", written by the script that started
// the cluster.
func ReadProcesses(path string, cluster load.Cluster, deployment load.Deployment) (*Processes, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.New(fault.Settings, "slopes.processes", "%w", err)
	}
	defer func() { _ = file.Close() }()
	processes := &Processes{Cluster: cluster, Deployment: deployment, pids: map[string]int{}}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		pid, err := strconv.Atoi(text)
		if err != nil {
			return nil, fault.New(fault.Settings, "slopes.processes", "%s: %w", path, err)
		}
		processes.pids[name] = pid
	}
	return processes, lines.Err()
}

// cpuSeconds returns the CPU time in seconds of the processes whose names start with the prefix, except the named one.
func (p *Processes) cpuSeconds(prefix, except string) (float64, error) {
	total := 0.0
	for name, pid := range p.pids {
		if !strings.HasPrefix(name, prefix) || name == except {
			continue
		}
		stat, err := p.stat(pid)
		if err != nil {
			return 0, err
		}
		total += stat.CPUTime()
	}
	return total, nil
}

func (p *Processes) stat(pid int) (procfs.ProcStat, error) {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return procfs.ProcStat{}, fault.New(fault.NotFound, "slopes.stat", "%w", err)
	}
	stat, err := process.Stat()
	if err != nil {
		return procfs.ProcStat{}, fault.New(fault.NotFound, "slopes.stat", "%w", err)
	}
	return stat, nil
}

// usage is the CPU time in seconds of entry-1 (first), of the other entry VMs and of the control members.
type usage struct{ first, others, control float64 }

func (p *Processes) usage() (usage, error) {
	var u usage
	var err error
	if u.first, err = p.cpuSeconds("entry-1", ""); err != nil {
		return u, err
	}
	if u.others, err = p.cpuSeconds("entry-", "entry-1"); err != nil {
		return u, err
	}
	u.control, err = p.cpuSeconds("control-", "")
	return u, err
}

// measure runs the work and returns the CPU time that the processes used meanwhile, and the duration of the work.
func (p *Processes) measure(work func() error) (usage, time.Duration, error) {
	before, err := p.usage()
	if err != nil {
		return usage{}, 0, err
	}
	began := time.Now()
	if err := work(); err != nil {
		return usage{}, 0, err
	}
	length := time.Since(began)
	after, err := p.usage()
	return usage{after.first - before.first, after.others - before.others, after.control - before.control}, length, err
}

// Measurements are the names of the measurements against processes, in the order in which they run.
var Measurements = []string{"fan-out", "rate", "held", "changes", "views", "renewals"}

// Measure runs the chosen measurements after it has measured the idle usage, which is subtracted from the CPU times.
// All queries go to entry-1; the other entry VMs only act as owners of upstreams.
func (p *Processes) Measure(ctx context.Context, chosen []string) ([]Slope, error) {
	if err := load.AwaitReady(ctx, p.Cluster); err != nil {
		return nil, err
	}
	idle, length, err := p.measure(func() error { return sleep(ctx, idleMeasureTime) })
	if err != nil {
		return nil, err
	}
	perSecond := usage{idle.first / length.Seconds(), idle.others / length.Seconds(), idle.control / length.Seconds()}
	var all []Slope
	measures := map[string]func(context.Context, usage) ([]Slope, error){
		"fan-out": p.fanOut, "rate": p.rate, "held": p.held, "changes": p.changes, "views": p.views, "renewals": p.renewals,
	}
	for _, name := range Measurements {
		if !slices.Contains(chosen, name) {
			continue
		}
		slopes, err := measures[name](ctx, perSecond)
		if err != nil {
			return all, err
		}
		all = append(all, slopes...)
	}
	return all, nil
}

func sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}

// searchServices returns the names of the search services with a single shard, so that a query of n of them has n
// sub-requests.
func (p *Processes) searchServices() []string {
	var names []string
	for _, service := range p.Deployment.Inventory().Services {
		if service.Kind == model.ServiceSearch && p.Deployment.Shards()[service.Name] == 1 {
			names = append(names, service.Name)
		}
	}
	return names
}

func (p *Processes) search(ctx context.Context, services []string, profile load.Profile, timeout time.Duration, name string) []load.Sample {
	return load.Run(ctx, load.Config{
		Targets:      p.Cluster.Entries[:1],
		Mix:          load.Mix{{Name: name, Share: 1, Services: services}},
		Profile:      profile,
		EvenlySpaced: true,
		Timeout:      timeout,
		Shards:       p.Deployment.Shards(),
		RunID:        name,
	})
}

// remoteShare returns the fraction of the upstreams of the services that are owned by other entry VMs than entry-1.
func (p *Processes) remoteShare(ctx context.Context, services []string) (float64, error) {
	client := controlrpc.NewClient(p.Cluster.Control, controlrpc.PlainDialer)
	defer client.Close()
	view, _, err := client.View(ctx, 0)
	if err != nil {
		return 0, err
	}
	wanted := map[string]bool{}
	for _, service := range services {
		wanted[service] = true
	}
	owners := ownership.Assign(view)
	all, remote := 0, 0
	for _, upstream := range view.Upstreams {
		if !wanted[upstream.Service] {
			continue
		}
		all++
		if owners[upstream.Name].ID != "entry-1" {
			remote++
		}
	}
	return float64(remote) / float64(max(all, 1)), nil
}

// fanOut measures the CPU time of a query at entry-1 and at the owners by the number of sub-requests.
func (p *Processes) fanOut(ctx context.Context, idle usage) ([]Slope, error) {
	services := p.searchServices()
	var entry, owner []Point
	for _, size := range fanOuts {
		share, err := p.remoteShare(ctx, services[:size])
		if err != nil {
			return nil, err
		}
		var queries int
		used, length, err := p.measure(func() error {
			profile := load.ConstantRate(fanOutRate, measureTime)
			queries = len(p.search(ctx, services[:size], profile, queryTimeout, fmt.Sprintf("fan-out-%d", size)))
			return nil
		})
		if err != nil {
			return nil, err
		}
		first := used.first - idle.first*length.Seconds()
		others := used.others - idle.others*length.Seconds()
		entry = append(entry, Point{float64(size), first / float64(queries) * microsPerSecond})
		owner = append(owner, Point{float64(size) * share, others / float64(queries) * microsPerSecond})
	}
	condition := fmt.Sprintf("%d queries/s at entry-1 for 4 s a point", fanOutRate)
	return []Slope{
		Fit("entry VM CPU by fan-out", "us per sub-request (fixed part: per query)", condition, entry),
		Fit("owner CPU by sub-requests", "us per sub-request owned by another entry VM", condition, owner),
	}, nil
}

// rate measures the CPU time of entry-1 by the query rate.
func (p *Processes) rate(ctx context.Context, idle usage) ([]Slope, error) {
	services := p.searchServices()[:1]
	var points []Point
	for _, rate := range queryRates {
		used, length, err := p.measure(func() error {
			p.search(ctx, services, load.ConstantRate(rate, measureTime), queryTimeout, fmt.Sprintf("rate-%.0f", rate))
			return nil
		})
		if err != nil {
			return nil, err
		}
		points = append(points, Point{rate, (used.first/length.Seconds() - idle.first) * microsPerSecond})
	}
	return []Slope{Fit("entry VM CPU by query rate", "us per query of one sub-request", "entry-1, refusals included, 4 s a point", points)}, nil
}

// held measures the resident memory of entry-1 while slow upstreams hold queries in flight.
func (p *Processes) held(ctx context.Context, _ usage) ([]Slope, error) {
	services := p.searchServices()
	fleets := load.NewFleetClient(p.Cluster.Fleets)
	stats, err := fleets.Stats(ctx)
	if err != nil {
		return nil, err
	}
	var points []Point
	for _, size := range heldQueries {
		for _, upstream := range stats {
			if err := fleets.StartSlowPeriod(ctx, upstream.Name, heldSlowFactor, heldDuration); err != nil {
				return nil, err
			}
		}
		held := make(chan []load.Sample, 1)
		go func() {
			burst := load.ConstantRate(float64(size)*10, 100*time.Millisecond)
			held <- p.search(ctx, services, burst, heldTimeout, fmt.Sprintf("held-%d", size))
		}()
		if err := sleep(ctx, heldDuration); err != nil {
			return nil, err
		}
		stat, err := p.stat(p.pids["entry-1"])
		if err != nil {
			return nil, err
		}
		accepted := 0
		for _, sample := range <-held {
			accepted += sample.Needed
		}
		points = append(points, Point{float64(accepted), float64(stat.ResidentMemory()) / 1e6})
	}
	return []Slope{Fit("entry VM memory by sub-requests in flight", "MB resident per sub-request", "entry-1, queries of 50 services held 0.7 s", points)}, nil
}

// changes measures the CPU time of the control members by the number of configuration changes.
func (p *Processes) changes(ctx context.Context, idle usage) ([]Slope, error) {
	client := controlrpc.NewClient(p.Cluster.Control, controlrpc.PlainDialer)
	defer client.Close()
	var points []Point
	for _, size := range changeCounts {
		used, length, err := p.measure(func() error { return p.applyChanges(ctx, client, size) })
		if err != nil {
			return nil, err
		}
		points = append(points, Point{float64(size), (used.control - idle.control*length.Seconds()) * microsPerSecond})
	}
	condition := fmt.Sprintf("%d control members, %d entry VMs read each view, a change every 50 ms", len(p.Cluster.Control), len(p.Cluster.Entries))
	return []Slope{Fit("control CPU by configuration changes", "us per change, all control members", condition, points)}, nil
}

func (p *Processes) applyChanges(ctx context.Context, client *controlrpc.Client, count int) error {
	const spacing = 50 * time.Millisecond
	for n := range count {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		view, _, err := client.View(ctx, 0)
		if err == nil {
			change := controlstate.ApplyConfig{
				ChangeID: fmt.Sprintf("slopes-%d-%d-%d", count, n, time.Now().UnixNano()), BaseVersion: view.Config.Version,
				Inventory: p.Deployment.Inventory(), Rules: p.Deployment.Rules,
			}
			_, err = client.Propose(ctx, controlstate.Command{ApplyConfig: &change})
		}
		cancel()
		if err != nil {
			return err
		}
		time.Sleep(spacing)
	}
	// The entry VMs fetch the last view with their next lease renewal.
	return sleep(ctx, 2*renewPeriod)
}

// views measures the CPU time of the control members by the number of views read.
func (p *Processes) views(ctx context.Context, idle usage) ([]Slope, error) {
	client := controlrpc.NewClient(p.Cluster.Control, controlrpc.PlainDialer)
	defer client.Close()
	var points []Point
	for _, size := range viewCounts {
		used, length, err := p.measure(func() error {
			for range size {
				if _, _, err := client.View(ctx, 0); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		points = append(points, Point{float64(size), (used.control - idle.control*length.Seconds()) * microsPerSecond})
	}
	condition := fmt.Sprintf("%d upstreams, %d members", p.Cluster.UpstreamCount, len(p.Cluster.Entries))
	return []Slope{Fit("control CPU by views read", "us per view", condition, points)}, nil
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// leaseHolder is a simulated entry VM that only renews its lease.
type leaseHolder struct {
	client   *controlrpc.Client
	id       string
	instance uint64
}

// renewals measures the CPU time of the control members and the bytes that the lease renewals of idle entry VMs cost.
// It must run last, because the simulated entry VMs own upstreams until their leases expire.
func (p *Processes) renewals(ctx context.Context, idle usage) ([]Slope, error) {
	var bytes atomic.Int64
	dial := func(address string) (net.Conn, error) {
		conn, err := controlrpc.PlainDialer(address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, &bytes}, nil
	}
	var holders []*leaseHolder
	defer func() {
		for _, holder := range holders {
			holder.client.Close()
		}
	}()
	var cpu, sent []Point
	for _, size := range leaseHolders {
		joined, err := p.registerHolders(ctx, len(holders), size, dial)
		holders = append(holders, joined...)
		if err != nil {
			return nil, err
		}
		if _, err := renewAll(ctx, holders, 2*renewPeriod); err != nil {
			return nil, err
		}
		before := bytes.Load()
		var messages int64
		used, length, err := p.measure(func() (err error) {
			messages, err = renewAll(ctx, holders, measureTime)
			return err
		})
		if err != nil {
			return nil, err
		}
		cpu = append(cpu, Point{float64(size), (used.control/length.Seconds() - idle.control) * microsPerSecond})
		sent = append(sent, Point{float64(messages), float64(bytes.Load() - before)})
	}
	condition := fmt.Sprintf("%d control members, renewal every 1 s, 4 s a point", len(p.Cluster.Control))
	return []Slope{
		Fit("control CPU by entry VMs", "us per second and entry VM", condition, cpu),
		Fit("renewal bytes by renewals", "bytes per renewal, both directions, 2 messages", condition, sent),
	}, nil
}

func (p *Processes) registerHolders(ctx context.Context, from, to int, dial controlrpc.Dialer) ([]*leaseHolder, error) {
	var joined []*leaseHolder
	for n := from; n < to; n++ {
		holder := &leaseHolder{client: controlrpc.NewClient(p.Cluster.Control, dial), id: fmt.Sprintf("holder-%04d", n)}
		joined = append(joined, holder)
		member := model.Member{ID: holder.id, RPCAddress: "127.0.0.1:1", FailureDomain: p.Deployment.Domains[0]}
		instance, err := holder.client.Join(ctx, member)
		if err != nil {
			return joined, err
		}
		holder.instance = instance
		// Renew immediately, since a member that has joined without a lease may be expired.
		if _, err := holder.client.Renew(ctx, controlrpc.RenewArgs{ID: holder.id, Instance: instance, Applied: instance}); err != nil {
			return joined, err
		}
	}
	return joined, nil
}

// renewAll renews the lease of each holder once per period, with the holders spread evenly over the period. It returns
// the number of renewals.
func renewAll(ctx context.Context, holders []*leaseHolder, length time.Duration) (int64, error) {
	revision, err := newestRevision(ctx, holders[0])
	if err != nil {
		return 0, err
	}
	ends := time.Now().Add(length)
	var renewed atomic.Int64
	var failed atomic.Pointer[error]
	var running sync.WaitGroup
	for n, holder := range holders {
		running.Go(func() {
			time.Sleep(renewPeriod * time.Duration(n) / time.Duration(len(holders)))
			for time.Now().Before(ends) {
				args := controlrpc.RenewArgs{ID: holder.id, Instance: holder.instance, Applied: revision}
				if _, err := holder.client.Renew(ctx, args); err != nil {
					failed.Store(&err)
					return
				}
				renewed.Add(1)
				time.Sleep(renewPeriod)
			}
		})
	}
	running.Wait()
	if err := failed.Load(); err != nil {
		return renewed.Load(), *err
	}
	return renewed.Load(), nil
}

// newestRevision returns the newest view revision of the control group.
func newestRevision(ctx context.Context, holder *leaseHolder) (uint64, error) {
	status, err := holder.client.Status(ctx)
	return status.Revision, err
}
