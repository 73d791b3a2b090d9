package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/load"
	"github.com/wisteriamux/wisteriamux/internal/telemetry"
)

func shapeCommand() *cobra.Command {
	var user, variant, dir string
	var size load.ClusterSize
	command := &cobra.Command{
		Use:     "shape",
		Short:   "Write the settings files of a cluster with a user's topology",
		Example: "  wmux-load shape --user blumenwagen --variant owner --port 22000 --dir cluster",
		RunE: func(_ *cobra.Command, _ []string) error {
			shape, err := load.DeploymentFor(user)
			if err != nil {
				return err
			}
			return load.WriteCluster(dir, shape, variant, size)
		},
	}
	flags := command.Flags()
	flags.StringVar(&user, "user", "blumenwagen", "user whose topology the cluster has: blumenwagen or safari")
	flags.StringVar(&variant, "variant", "owner", strings.Join(load.Variants, ", "))
	flags.StringVar(&dir, "dir", "cluster", "output directory for the settings files")
	flags.IntVar(&size.BasePort, "port", 22000, "first port")
	flags.IntVar(&size.Control, "control", 1, "number of control members")
	flags.IntVar(&size.Entries, "entries", 8, "number of entry VMs")
	return command
}

func experimentCommand() *cobra.Command {
	var config load.ExperimentConfig
	var cluster, out, user, variant string
	command := &cobra.Command{
		Use:     "experiment",
		Short:   "Run the load scenarios against a running cluster",
		Example: "  wmux-load experiment --user blumenwagen --variant owner --cluster cluster/cluster.json --scenario rest,slow,spike,shrink",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if config.Cluster, err = load.ReadCluster(cluster); err != nil {
				return err
			}
			if user != config.Cluster.User || variant != config.Cluster.Variant {
				return fault.New(fault.Settings, "experiment", "the cluster was set up for user %s and variant %s, not for user %s and variant %s", config.Cluster.User, config.Cluster.Variant, user, variant)
			}
			if config.Deployment, err = load.DeploymentFor(config.Cluster.User); err != nil {
				return err
			}
			reports, err := load.RunExperiment(cmd.Context(), config, telemetry.NewLogger(os.Stderr, "wmux-load", user))
			if err != nil {
				return err
			}
			return writeReports(out, reports)
		},
	}
	flags := command.Flags()
	flags.StringVar(&user, "user", "blumenwagen", "blumenwagen or safari")
	flags.StringVar(&variant, "variant", "owner", strings.Join(load.Variants, ", "))
	flags.StringVar(&cluster, "cluster", "cluster/cluster.json", "description file of the running cluster")
	flags.StringVar(&out, "out", "results/report.json", "JSON file to write the reports to")
	flags.StringSliceVar(&config.Scenarios, "scenario", load.Scenarios, "scenarios to run")
	flags.Float64Var(&config.BaseShare, "base", 0.3, "base rate as a fraction of the rate at which the slots of the busiest shard are full")
	flags.Float64Var(&config.SpikeFactor, "spike", 4, "peak rate as a multiple of the base rate, 3 to 5")
	flags.DurationVar(&config.HoldDuration, "hold", 10*time.Second, "duration of the constant-rate part of each scenario")
	flags.DurationVar(&config.Deadline, "deadline", 390*time.Millisecond, "deadline of each request")
	flags.Float64Var(&config.ResendShare, "resend", 0.2, "fraction of bookings that are sent a second time through another entry VM")
	flags.BoolVar(&config.SpareReplica, "spare-replica", false, "keep at least one replica of each shard at normal speed")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the arrival times and of the choice of slow upstreams")
	return command
}

func compareCommand() *cobra.Command {
	var plots string
	command := &cobra.Command{
		Use:     "compare FILE...",
		Short:   "Print the results of several runs side by side, with the targets",
		Example: "  wmux-load compare --plots results results/*.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			var reports []*load.Report
			for _, file := range files {
				fileReports, err := readReports(file)
				if err != nil {
					return err
				}
				reports = append(reports, fileReports...)
			}
			if plots != "" {
				if err := load.Plot(plots, reports); err != nil {
					return err
				}
				if err := writeFile(filepath.Join(plots, "results.csv"), reports, load.WriteCSV); err != nil {
					return err
				}
			}
			return load.WriteComparison(cmd.OutOrStdout(), reports)
		},
	}
	command.Flags().StringVar(&plots, "plots", "", "directory to write SVG plots and results.csv to; none if empty")
	return command
}

func writeReports(path string, reports []*load.Report) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return writeFile(path, reports, load.WriteJSON)
}

func writeFile(path string, reports []*load.Report, write func(io.Writer, []*load.Report) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file, reports); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func readReports(path string) ([]*load.Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var reports []*load.Report
	if err := json.Unmarshal(data, &reports); err != nil {
		return nil, fault.New(fault.Settings, "compare", "%s: %w", path, err)
	}
	return reports, nil
}
