package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/burn"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// maxReportBytes limits the size of a report, and of one line of a saved run.
const maxReportBytes = 16 << 20

// burnOptions are the flags of the burn command.
type burnOptions struct {
	entries  []string
	samples  int
	interval time.Duration
	save     string
	run      string
	format   string
	out      string
}

func burnCommand(opts *options) *cobra.Command {
	var o burnOptions
	command := &cobra.Command{
		Use:   "burn",
		Short: "Report the SLO burn rates of entry VMs, live or from a saved run",
		Example: `  wmuxctl burn --entry http://127.0.0.1:8001,http://127.0.0.1:8002
  wmuxctl burn --entry http://127.0.0.1:8001 --samples 60 --interval 5s --save run.jsonl
  wmuxctl burn --run run.jsonl --format html --out burn.html`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reports, err := o.reports(cmd.Context())
			if err != nil {
				return err
			}
			if o.format == "" && opts.json {
				o.format = "json"
			}
			return o.write(opts.out, reports)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&o.entries, "entry", []string{"http://127.0.0.1:8001"}, "URLs of entry VMs")
	flags.IntVar(&o.samples, "samples", 1, "number of samples to take")
	flags.DurationVar(&o.interval, "interval", 5*time.Second, "time between samples")
	flags.StringVar(&o.save, "save", "", "file to write one JSON report per line to")
	flags.StringVar(&o.run, "run", "", "saved run to report on instead of entry VMs")
	flags.StringVar(&o.format, "format", "", "output format: text (default), json or html")
	flags.StringVar(&o.out, "out", "", "file to write the report to; standard output if empty")
	return command
}

// reports returns one report for each sample, combined over all entry VMs, oldest first.
func (o *burnOptions) reports(ctx context.Context) ([]burn.Report, error) {
	if o.run != "" {
		return readRun(o.run)
	}
	var reports []burn.Report
	for n := range max(1, o.samples) {
		if n > 0 {
			select {
			case <-time.After(o.interval):
			case <-ctx.Done():
				return reports, o.saveReports(reports)
			}
		}
		combined, err := fetchAll(ctx, o.entries)
		if err != nil {
			return nil, err
		}
		reports = append(reports, combined)
	}
	return reports, o.saveReports(reports)
}

func fetchAll(ctx context.Context, entries []string) (burn.Report, error) {
	var parts []burn.Report
	for _, entry := range entries {
		part, err := fetchReport(ctx, entry)
		if err != nil {
			return burn.Report{}, err
		}
		parts = append(parts, part)
	}
	return burn.Combine(parts), nil
}

func fetchReport(ctx context.Context, entry string) (burn.Report, error) {
	var report burn.Report
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/v1/burn", http.NoBody)
	if err != nil {
		return report, fault.New(fault.BadRequest, "burn.fetch", "%w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return report, fault.New(fault.Unavailable, "burn.fetch", "%w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report, fault.New(fault.Unavailable, "burn.fetch", "%s returned status %d", entry, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return report, fault.New(fault.Unavailable, "burn.fetch", "%s: %w", entry, err)
	}
	return report, nil
}

func (o *burnOptions) saveReports(reports []burn.Report) error {
	if o.save == "" {
		return nil
	}
	file, err := os.Create(o.save)
	if err != nil {
		return fault.New(fault.StorageFailed, "burn.save", "%w", err)
	}
	encoder := json.NewEncoder(file)
	for _, report := range reports {
		if err := encoder.Encode(report); err != nil {
			return fault.New(fault.StorageFailed, "burn.save", "%w", err)
		}
	}
	if err := file.Close(); err != nil {
		return fault.New(fault.StorageFailed, "burn.save", "%w", err)
	}
	return nil
}

func readRun(path string) ([]burn.Report, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.New(fault.NotFound, "burn.run", "%w", err)
	}
	defer func() { _ = file.Close() }()
	var reports []burn.Report
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxReportBytes)
	for lines.Scan() {
		var report burn.Report
		if err := json.Unmarshal(lines.Bytes(), &report); err != nil {
			return nil, fault.New(fault.BadRequest, "burn.run", "%s line %d: %w", path, len(reports)+1, err)
		}
		reports = append(reports, report)
	}
	if err := lines.Err(); err != nil {
		return nil, fault.New(fault.BadRequest, "burn.run", "%s: %w", path, err)
	}
	if len(reports) == 0 {
		return nil, fault.New(fault.BadRequest, "burn.run", "%s contains no reports", path)
	}
	return reports, nil
}

// write writes the newest report as text or JSON, or the history of all samples as HTML.
func (o *burnOptions) write(stdout io.Writer, reports []burn.Report) error {
	target := stdout
	if o.out != "" {
		file, err := os.Create(o.out)
		if err != nil {
			return fault.New(fault.StorageFailed, "burn.out", "%w", err)
		}
		defer func() { _ = file.Close() }()
		target = file
	}
	newest := reports[len(reports)-1]
	switch o.format {
	case "", "text":
		return newest.WriteText(target)
	case "json":
		return newest.WriteJSON(target)
	case "html":
		var history burn.History
		for _, report := range reports {
			history.Add(burn.SampleOf(report))
		}
		return history.WriteHTML(target)
	}
	return fault.New(fault.BadRequest, "burn", "unknown format %q: must be text, json or html", o.format)
}
