package raftnode

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const lockFile = "lock"

// lockDir takes an exclusive lock on a data directory. The kernel releases it when the process exits.
func lockDir(dir string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fault.New(fault.StorageFailed, "raftnode.lock", "open lock file: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, fault.New(fault.Conflict, "raftnode.lock", "data directory %s is in use by another process: %w", dir, err)
	}
	return file, nil
}
