package control

import (
	"encoding/gob"
	"sync"

	"github.com/wisteriamux/wisteriamux/internal/route"
)

const (
	// maxTables is the number of applied tables that are kept to compute changes from.
	maxTables = 8
	// maxTableBytes bounds the encoded size of the kept tables together.
	maxTableBytes = 4 << 20
)

// keptTable is an applied table.
type keptTable struct {
	table route.Table
	bytes int
}

// tableHistory holds the last tables that this member applied, and the changes from them to the newest. It is not part of snapshots.
type tableHistory struct {
	mu sync.Mutex
	// tables is ordered by version, the newest last.
	tables []keptTable
	bytes  int
	// changes holds the computed changes to the newest table by the older version. It is nil for those that are not sent.
	changes map[uint64]*route.TableChange
}

// reset forgets all tables but the given one.
func (h *tableHistory) reset(table route.Table) {
	h.mu.Lock()
	h.tables, h.bytes = nil, 0
	h.mu.Unlock()
	h.add(table)
}

// add keeps the newest table and drops the oldest beyond the bounds.
func (h *tableHistory) add(table route.Table) {
	size := encodedBytes(table)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = map[uint64]*route.TableChange{}
	h.tables = append(h.tables, keptTable{table: table, bytes: size})
	h.bytes += size
	for len(h.tables) > maxTables || len(h.tables) > 0 && h.bytes > maxTableBytes {
		h.bytes -= h.tables[0].bytes
		h.tables[0] = keptTable{}
		h.tables = h.tables[1:]
	}
}

// changeTo returns the change from a version to the newest table, which must be of the version to. It returns nil if the older table
// is not kept, or if the change is not smaller than the whole table.
func (h *tableHistory) changeTo(from, to uint64) *route.TableChange {
	h.mu.Lock()
	defer h.mu.Unlock()
	if from == 0 || from >= to || len(h.tables) == 0 {
		return nil
	}
	newest := h.tables[len(h.tables)-1]
	if newest.table.Version != to {
		return nil
	}
	if change, computed := h.changes[from]; computed {
		return change
	}
	for _, kept := range h.tables {
		if kept.table.Version != from {
			continue
		}
		h.changes[from] = nil
		if change, ok := route.ChangeBetween(kept.table, newest.table); ok && encodedBytes(change) < newest.bytes {
			h.changes[from] = &change
		}
	}
	return h.changes[from]
}

// byteCounter counts the bytes that are written to it.
type byteCounter int

func (c *byteCounter) Write(data []byte) (int, error) {
	*c += byteCounter(len(data))
	return len(data), nil
}

// encodedBytes returns the size of a value in a message. A value that cannot be encoded counts as too large to keep or send.
func encodedBytes(value any) int {
	var count byteCounter
	if err := gob.NewEncoder(&count).Encode(value); err != nil {
		return maxTableBytes + 1
	}
	return int(count)
}
