package main

import (
	"net"
	"os"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/settings"
)

// checkSettings rejects settings that are invalid regardless of the machine.
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
		return fault.New(fault.Settings, op, "rpc_address %q must contain a specific IP address that the other members can dial", loaded.RPCAddress)
	case port == "" || port == "0":
		return fault.New(fault.Settings, op, "rpc_address %q must contain a port that the other members can dial", loaded.RPCAddress)
	}
	return nil
}

// checkDataDir verifies that a file can be written to the data directory and synced.
func checkDataDir(cmd *cobra.Command, loaded settings.Control) error {
	if err := os.MkdirAll(loaded.DataDir, 0o700); err != nil {
		return dataDirError(err)
	}
	file, err := os.CreateTemp(loaded.DataDir, "check-*")
	if err != nil {
		return dataDirError(err)
	}
	defer func() { _ = os.Remove(file.Name()) }()
	if _, err := file.WriteString("check\n"); err != nil {
		return dataDirError(err)
	}
	if err := file.Sync(); err != nil {
		return dataDirError(err)
	}
	if err := file.Close(); err != nil {
		return dataDirError(err)
	}
	cmd.Printf("settings of %s are valid and data directory %s accepts synced writes\n", loaded.ID, loaded.DataDir)
	return nil
}

func dataDirError(err error) error {
	return fault.New(fault.StorageFailed, "check.data_dir", "%w", err)
}
