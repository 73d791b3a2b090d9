package wal

import (
	"errors"
	"math/rand/v2"
	"path/filepath"
	"sort"
	"strings"
)

var errCrashed = errors.New("crashed")

// memFile is the content of a file. Data beyond synced may be lost in a crash.
type memFile struct {
	data   []byte
	synced int
}

// memFS is an in-memory file system that loses unsynced data in a crash. Creations, renames and removals survive a
// crash only after SyncDir.
type memFS struct {
	rng     *rand.Rand
	files   map[string]*memFile
	durable map[string]*memFile
	// budget is the number of mutating operations after which all further ones fail; it is unlimited if negative.
	budget int
	// dropSyncs makes Sync do nothing, which simulates a log that acknowledges data before it is synced.
	dropSyncs bool
}

func newMemFS(seed uint64) *memFS {
	return &memFS{
		rng: rand.New(rand.NewPCG(seed, 5)), budget: -1,
		files: map[string]*memFile{}, durable: map[string]*memFile{},
	}
}

func (m *memFS) spendBudget() error {
	if m.budget == 0 {
		return errCrashed
	}
	if m.budget > 0 {
		m.budget--
	}
	return nil
}

// crash simulates a crash: durable names, synced data and a random, possibly corrupted prefix of the unsynced data
// survive.
func (m *memFS) crash() {
	m.files = map[string]*memFile{}
	for name, file := range m.durable {
		tail := file.data[file.synced:]
		kept := append([]byte(nil), tail[:m.rng.IntN(len(tail)+1)]...)
		if len(kept) > 0 && m.rng.IntN(2) == 0 {
			kept[m.rng.IntN(len(kept))] ^= 0xff
		}
		data := append(append([]byte(nil), file.data[:file.synced]...), kept...)
		m.files[name] = &memFile{data: data, synced: len(data)}
	}
	m.durable = map[string]*memFile{}
	for name, file := range m.files {
		m.durable[name] = file
	}
	m.budget = -1
}

func (m *memFS) MkdirAll(string) error { return m.spendBudget() }

func (m *memFS) ReadDir(path string) ([]string, error) {
	var names []string
	for name := range m.files {
		if filepath.Dir(name) == path {
			names = append(names, filepath.Base(name))
		}
	}
	sort.Strings(names)
	return names, nil
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	return append([]byte(nil), m.files[path].data...), nil
}

func (m *memFS) Create(path string) (File, error) {
	if err := m.spendBudget(); err != nil {
		return nil, err
	}
	m.files[path] = &memFile{}
	return &memHandle{fs: m, file: m.files[path]}, nil
}

func (m *memFS) OpenAppend(path string, size int64) (File, error) {
	if err := m.spendBudget(); err != nil {
		return nil, err
	}
	file := m.files[path]
	file.data = file.data[:size]
	file.synced = min(file.synced, int(size))
	return &memHandle{fs: m, file: file}, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.spendBudget(); err != nil {
		return err
	}
	for name, file := range m.files {
		if strings.HasPrefix(name, from+"/") {
			delete(m.files, name)
			m.files[to+strings.TrimPrefix(name, from)] = file
		}
	}
	return nil
}

func (m *memFS) RemoveAll(path string) error {
	if err := m.spendBudget(); err != nil {
		return err
	}
	for name := range m.files {
		if name == path || strings.HasPrefix(name, path+"/") {
			delete(m.files, name)
		}
	}
	return nil
}

func (m *memFS) SyncDir(path string) error {
	if err := m.spendBudget(); err != nil {
		return err
	}
	for name := range m.durable {
		if strings.HasPrefix(name, path+"/") {
			delete(m.durable, name)
		}
	}
	for name, file := range m.files {
		if strings.HasPrefix(name, path+"/") {
			m.durable[name] = file
		}
	}
	return nil
}

type memHandle struct {
	fs   *memFS
	file *memFile
}

// Write writes only part of the data if the budget is exhausted.
func (h *memHandle) Write(data []byte) (int, error) {
	if err := h.fs.spendBudget(); err != nil {
		n := h.fs.rng.IntN(len(data) + 1)
		h.file.data = append(h.file.data, data[:n]...)
		return n, err
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}

func (h *memHandle) Sync() error {
	if err := h.fs.spendBudget(); err != nil {
		return err
	}
	if !h.fs.dropSyncs {
		h.file.synced = len(h.file.data)
	}
	return nil
}

func (h *memHandle) Close() error { return nil }
