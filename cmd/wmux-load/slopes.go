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
	var chosen []string
	command := &cobra.Command{
		Use:     "slopes",
		Short:   "Measure how processor time, memory and bytes grow with size",
		Example: "  wmux-load slopes\n  wmux-load slopes --cluster cluster/cluster.json --processes cluster/processes",
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := slopes.InProcess()
			if err != nil {
				return err
			}
			if cluster != "" {
				measured, err := measureProcesses(cmd, cluster, processes, chosen)
				all = append(all, measured...)
				if err != nil {
					_ = slopes.WriteTable(cmd.OutOrStdout(), all)
					return err
				}
			}
			if out != "" {
				if err := writeSlopes(out, all); err != nil {
					return err
				}
			}
			return slopes.WriteTable(cmd.OutOrStdout(), all)
		},
	}
	flags := command.Flags()
	flags.StringVar(&cluster, "cluster", "", "description of a running cluster; empty measures in process only")
	flags.StringVar(&processes, "processes", "", "file with a line NAME PID for each process of the cluster")
	flags.StringSliceVar(&chosen, "measure", slopes.Measurements, "measurements against the processes")
	flags.StringVar(&out, "out", "", "JSON file for the slopes; empty writes none")
	return command
}

func measureProcesses(cmd *cobra.Command, cluster, processes string, chosen []string) ([]slopes.Slope, error) {
	described, err := load.ReadCluster(cluster)
	if err != nil {
		return nil, err
	}
	shape, err := load.ShapeOf(described.User)
	if err != nil {
		return nil, err
	}
	running, err := slopes.ReadProcesses(processes, described, shape)
	if err != nil {
		return nil, err
	}
	return running.Measure(cmd.Context(), chosen)
}

func writeSlopes(path string, all []slopes.Slope) error {
	data, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}
