package gather

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record of a search result.
const RecordBytes = 16

const (
	// partRecords is how many times the records that a search can use a part may hold. Upstreams send a few more records
	// than the search asks for, in no order.
	partRecords = 64
	// minPartBytes is the limit of a part of a search for few records.
	minPartBytes = 64 << 10
	// maxPartRecords is far above the records of any part that fits into memory, and keeps products of it from overflowing.
	maxPartRecords = 1 << 32
)

// MaxPartBytes returns the limit of the size of one part of a search for the top records.
func MaxPartBytes(top int) int64 {
	return max(minPartBytes, partRecords*RecordBytes*min(int64(top), maxPartRecords))
}

// Merge returns the greatest records of all parts, at most top, in descending byte order. Duplicates are kept. Trailing
// bytes of a part that do not fill a record are ignored.
func Merge(parts [][]byte, top int) []byte {
	total := 0
	for _, part := range parts {
		total += len(part) / RecordBytes
	}
	records := make([][]byte, 0, total)
	for _, part := range parts {
		for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
			records = append(records, part[:RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(top, len(records))]
	merged := make([]byte, 0, len(records)*RecordBytes)
	for _, record := range records {
		merged = append(merged, record...)
	}
	return merged
}
