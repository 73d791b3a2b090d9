package main

import (
	"net"
	"os"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/settings"
)

// checkSettings refuses settings that could not work on any machine.
func checkSettings(loaded settings.Control) error {
	const op = "settings.check"
	host, port, err := net.SplitHostPort(loaded.RPCAddress)
	switch {
	case loaded.ID == "":
		return fault.New(fault.Settings, op, "id is empty")
	case loaded.DataDir == "":
		return fault.New(fault.Settings, op, "data_dir is empty")
	case err != nil:
		return fault.New(fault.Settings, op, "rpc_address %q: %w", loaded.RPCAddress, err)
	case net.ParseIP(host) == nil || net.ParseIP(host).IsUnspecified():
		return fault.New(fault.Settings, op, "rpc_address %q must name the IP address that the other members dial", loaded.RPCAddress)
	case port == "" || port == "0":
		return fault.New(fault.Settings, op, "rpc_address %q must name the port that the other members dial", loaded.RPCAddress)
	}
	return nil
}

// check proves that the data directory takes a synced file.
func check(cmd *cobra.Command, loaded settings.Control) error {
	if err := os.MkdirAll(loaded.DataDir, 0o700); err != nil {
		return storageFailed(err)
	}
	file, err := os.CreateTemp(loaded.DataDir, "check-*")
	if err != nil {
		return storageFailed(err)
	}
	defer func() { _ = os.Remove(file.Name()) }()
	if _, err := file.WriteString("check\n"); err != nil {
		return storageFailed(err)
	}
	if err := file.Sync(); err != nil {
		return storageFailed(err)
	}
	if err := file.Close(); err != nil {
		return storageFailed(err)
	}
	cmd.Printf("settings of %s are valid and %s takes synced files\n", loaded.ID, loaded.DataDir)
	return nil
}

func storageFailed(err error) error {
	return fault.New(fault.StorageFailed, "check.data_dir", "%w", err)
}
