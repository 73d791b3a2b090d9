package standin

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// FleetFile is the configuration file of a process that hosts several stand-ins.
type FleetFile struct {
	// Admin is the listen address of the admin endpoints of all stand-ins. It is separate from the stand-ins'
	// listeners, so that admin requests don't count against their connection limits.
	Admin     string   `toml:"admin"`
	Upstreams []Config `toml:"upstream"`
}

// LoadFleet reads a fleet file. Unknown keys are an error.
func LoadFleet(path string) (FleetFile, error) {
	var file FleetFile
	data, err := os.ReadFile(path)
	if err != nil {
		return file, fault.New(fault.Settings, "fleet.load", "%w", err)
	}
	meta, err := toml.Decode(string(data), &file)
	if err != nil {
		return file, fault.New(fault.Settings, "fleet.load", "%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return file, fault.New(fault.Settings, "fleet.load", "%s: unknown key %q", path, unknown[0].String())
	}
	return file, nil
}

// Fleet runs several stand-ins in one process.
type Fleet struct {
	file      FleetFile
	upstreams []*Upstream
}

// NewFleet creates the stand-ins of the file and gives each a unique instance name.
func NewFleet(file FleetFile, log *slog.Logger) *Fleet {
	fleet := &Fleet{file: file}
	for n, config := range file.Upstreams {
		config.Announcement.Instance = fmt.Sprintf("%d-%d-%d", os.Getpid(), time.Now().UnixNano(), n)
		fleet.upstreams = append(fleet.upstreams, New(config, log.With("upstream", config.Announcement.Name)))
	}
	return fleet
}

// Run serves until every stand-in has stopped. The admin endpoints stay available until the context ends, so that the
// counters of stopped stand-ins can still be read.
func (f *Fleet) Run(ctx context.Context, admin net.Listener) error {
	server := &http.Server{Handler: f.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(admin) }()
	defer func() { _ = server.Close() }()
	var group errgroup.Group
	for _, upstream := range f.upstreams {
		group.Go(func() error { return upstream.Serve(ctx) })
	}
	err := group.Wait()
	if err == nil {
		<-ctx.Done()
	}
	return err
}

// Serve listens on the configured admin address and runs the fleet.
func (f *Fleet) Serve(ctx context.Context) error {
	admin, err := net.Listen("tcp", f.file.Admin)
	if err != nil {
		return fault.New(fault.Settings, "fleet.listen", "%w", err)
	}
	return f.Run(ctx, admin)
}

// adminHandler serves /admin/stats and /admin/bookings for all stand-ins together, and the endpoints of each stand-in
// under /upstreams/NAME.
func (f *Fleet) adminHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Stats()) }).Methods(http.MethodGet)
	router.HandleFunc("/admin/bookings", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.bookings()) }).Methods(http.MethodGet)
	for _, upstream := range f.upstreams {
		prefix := "/upstreams/" + upstream.config.Announcement.Name
		router.PathPrefix(prefix).Handler(http.StripPrefix(prefix, upstream.router))
	}
	return router
}

// Stats returns the counters of all stand-ins.
func (f *Fleet) Stats() []Stats {
	all := make([]Stats, 0, len(f.upstreams))
	for _, upstream := range f.upstreams {
		all = append(all, upstream.Stats())
	}
	return all
}

// bookings returns how often each booking key ran, summed over the stand-ins: a booking that ran once at each of two
// stand-ins ran twice.
func (f *Fleet) bookings() map[string]int {
	runs := map[string]int{}
	for _, upstream := range f.upstreams {
		for key, count := range upstream.Bookings() {
			runs[key] += count
		}
	}
	return runs
}
