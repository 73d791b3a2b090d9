// Package netcut simulates network partitions of a process for fault-injection tests. A cut is silent: connections stay
// open, but written bytes are not delivered, or arriving bytes are not read, until the cut ends. The package is active
// only if the settings name a rules file.
package netcut

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// reloadInterval is how often the rules file is read. It limits the precision with which a test can time a cut.
const reloadInterval = 50 * time.Millisecond

// anyAddress matches every address.
const anyAddress = "*"

// rule cuts the directions of one address. An address without a port matches every port of the host.
type rule struct {
	in, out bool
	address string
}

// Rules holds the rules of the rules file. Each line of the file is "in", "out" or "both" followed by an address, a
// host, or "*"; text after "#" is a comment. "in" cuts the bytes from the address, "out" the bytes to it. A missing
// file cuts nothing. Replace the file atomically by renaming a new one over it, since a truncated file ends every cut
// until it is filled. A nil Rules cuts nothing and wraps nothing.
type Rules struct {
	path    string
	log     *slog.Logger
	current atomic.Pointer[[]rule]
}

// Open reads the rules file. It returns nil when the path is empty.
func Open(path string, log *slog.Logger) (*Rules, error) {
	if path == "" {
		return nil, nil
	}
	r := &Rules{path: path, log: log}
	r.current.Store(&[]rule{})
	return r, r.reload()
}

// Run rereads the rules file periodically until the context ends. An invalid file leaves the previous rules in place.
func (r *Rules) Run(ctx context.Context) {
	if r == nil {
		return
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := r.reload(); err != nil {
				r.log.Warn("failed to reload the fault rules, keeping the previous ones", "path", r.path, "error", err)
			}
		}
	}
}

func (r *Rules) reload() error {
	data, err := os.ReadFile(r.path)
	if err != nil && !os.IsNotExist(err) {
		return fault.New(fault.Settings, "netcut.reload", "%w", err)
	}
	rules, err := parseRules(data)
	if err != nil {
		return fault.New(fault.Settings, "netcut.reload", "%s: %w", r.path, err)
	}
	r.current.Store(&rules)
	return nil
}

func parseRules(data []byte) ([]rule, error) {
	var rules []rule
	lines := bufio.NewScanner(bytes.NewReader(data))
	for number := 1; lines.Scan(); number++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 2 || (fields[0] != "in" && fields[0] != "out" && fields[0] != "both") {
			return nil, fmt.Errorf("line %d: expected a direction (in, out or both) and an address", number)
		}
		rules = append(rules, rule{in: fields[0] != "out", out: fields[0] != "in", address: fields[1]})
	}
	return rules, lines.Err()
}

// cutDirections reports which directions of a connection with the remote address are cut.
func (r *Rules) cutDirections(address string) (in, out bool) {
	for _, rule := range *r.current.Load() {
		if rule.matches(address) {
			in = in || rule.in
			out = out || rule.out
		}
	}
	return in, out
}

func (r rule) matches(address string) bool {
	if r.address == anyAddress || r.address == address {
		return true
	}
	host, _, err := net.SplitHostPort(address)
	return err == nil && host == r.address
}
