package main

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/load"
	"github.com/wisteriamux/wisteriamux/internal/load/slopes"
)

func slopesCommand() *cobra.Command {
	var cluster, processes, out string
	var measurements []string
	command := &cobra.Command{
		Use:     "slopes",
		Short:   "Measure how CPU time, memory and message sizes grow with the size of the cluster",
		Example: "  wmux-load slopes\n  wmux-load slopes --cluster cluster/cluster.json --processes cluster/processes",
		RunE: func(cmd *cobra.Command, _ []string) error {
			results, err := slopes.MeasureInProcess()
			if err != nil {
				return err
			}
			if cluster != "" {
				processSlopes, err := measureProcesses(cmd, cluster, processes, measurements)
				results = append(results, processSlopes...)
				if err != nil {
					_ = slopes.WriteTable(cmd.OutOrStdout(), results)
					return err
				}
			}
			if out != "" {
				if err := writeSlopes(out, results); err != nil {
					return err
				}
			}
			return slopes.WriteTable(cmd.OutOrStdout(), results)
		},
	}
	flags := command.Flags()
	flags.StringVar(&cluster, "cluster", "", "description file of a running cluster; if empty, only the in-process measurements run")
	flags.StringVar(&processes, "processes", "", "file with a line \"NAME PID\" for each process of the cluster")
	flags.StringSliceVar(&measurements, "measure", slopes.Measurements, "measurements to run against the processes")
	flags.StringVar(&out, "out", "", "JSON file to write the slopes to; none if empty")
	return command
}

func measureProcesses(cmd *cobra.Command, cluster, processes string, measurements []string) ([]slopes.Slope, error) {
	description, err := load.ReadCluster(cluster)
	if err != nil {
		return nil, err
	}
	shape, err := load.DeploymentFor(description.User)
	if err != nil {
		return nil, err
	}
	running, err := slopes.ReadProcesses(processes, description, shape)
	if err != nil {
		return nil, err
	}
	return running.Measure(cmd.Context(), measurements)
}

func writeSlopes(path string, results []slopes.Slope) error {
	data, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}
