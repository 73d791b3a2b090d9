package wal

import (
	"io"
	"os"
	"sort"
)

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// File is a file open for appending.
type File interface {
	io.Writer
	// Sync flushes everything written so far to stable storage.
	Sync() error
	Close() error
}

// FS is the file system that the log and the snapshot store use. Tests replace it to inject failures.
type FS interface {
	MkdirAll(path string) error
	// ReadDir returns the sorted names in a directory. A directory that does not exist counts as empty.
	ReadDir(path string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create creates a file for appending, or truncates it if it exists.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending and truncates it to the given size.
	OpenAppend(path string, size int64) (File, error)
	Rename(from, to string) error
	RemoveAll(path string) error
	// SyncDir makes creations, renames and removals in a directory durable.
	SyncDir(path string) error
}

// OS implements FS on the file system of the operating system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, dirMode) }

// ReadDir implements FS.
func (OS) ReadDir(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	sort.Strings(names)
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// OpenAppend implements FS.
func (OS) OpenAppend(path string, size int64) (File, error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// RemoveAll implements FS.
func (OS) RemoveAll(path string) error { return os.RemoveAll(path) }

// SyncDir implements FS.
func (OS) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	if closeErr := dir.Close(); err == nil {
		err = closeErr
	}
	return err
}
