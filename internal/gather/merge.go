package gather

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record of a search result.
const RecordBytes = 16

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
