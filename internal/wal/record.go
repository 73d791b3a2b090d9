package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/wisteriamux/wisteriamux/internal/raft"
)

// A frame consists of the length of the payload (uint32), a CRC-32C (uint32) of all other fields, a sequence number
// (uint64) and the payload. Integers are little-endian. Each Save writes one frame, so that an interrupted write can
// corrupt only the last frame of the log.
const (
	frameHeaderSize = 16
	maxPayloadSize  = 1 << 30
	sequenceOffset  = 8
)

type recordKind byte

const (
	// kindCheckpoint is a record that replaces the whole content of the log; earlier frames are obsolete.
	kindCheckpoint recordKind = 1
	// kindSave is a record with a hard state and entries. The entries replace those with the same or a higher index.
	kindSave recordKind = 2
)

var (
	errIncompleteFrame = errors.New("incomplete frame")
	errCorruptFrame    = errors.New("corrupt frame")

	crcTable = crc32.MakeTable(crc32.Castagnoli)
)

// record is the decoded payload of a frame. Only checkpoints have an identity and a compacted position.
type record struct {
	kind      recordKind
	identity  uint64
	compacted raft.Position
	state     raft.HardState
	entries   []raft.Entry
}

func encodeRecord(r record) []byte {
	out := []byte{byte(r.kind)}
	if r.kind == kindCheckpoint {
		out = binary.AppendUvarint(out, r.identity)
		out = binary.AppendUvarint(out, r.compacted.Index)
		out = binary.AppendUvarint(out, r.compacted.Term)
	}
	out = binary.AppendUvarint(out, r.state.Term)
	out = binary.AppendUvarint(out, r.state.Vote)
	out = binary.AppendUvarint(out, r.state.Commit)
	out = binary.AppendUvarint(out, uint64(len(r.entries)))
	for _, entry := range r.entries {
		out = binary.AppendUvarint(out, entry.Index)
		out = binary.AppendUvarint(out, entry.Term)
		out = append(out, byte(entry.Kind))
		out = binary.AppendUvarint(out, uint64(len(entry.Data)))
		out = append(out, entry.Data...)
	}
	return out
}

// decoder decodes fields. After the first malformed field, failed is set and all further fields are zero.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) uvarint() uint64 {
	value, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.failed = true
		d.rest = nil
		return 0
	}
	d.rest = d.rest[n:]
	return value
}

func (d *decoder) bytes(n uint64) []byte {
	if n > uint64(len(d.rest)) {
		d.failed = true
		d.rest = nil
		return nil
	}
	out := d.rest[:n:n]
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) byte() byte {
	b := d.bytes(1)
	if len(b) == 0 {
		return 0
	}
	return b[0]
}

func decodeRecord(payload []byte) (record, error) {
	d := decoder{rest: payload}
	r := record{kind: recordKind(d.byte())}
	switch r.kind {
	case kindCheckpoint:
		r.identity = d.uvarint()
		r.compacted = raft.Position{Index: d.uvarint(), Term: d.uvarint()}
	case kindSave:
	default:
		return record{}, errCorruptFrame
	}
	r.state = raft.HardState{Term: d.uvarint(), Vote: d.uvarint(), Commit: d.uvarint()}
	count := d.uvarint()
	for i := uint64(0); i < count && !d.failed; i++ {
		r.entries = append(r.entries, decodeEntry(&d))
	}
	if d.failed || len(d.rest) > 0 {
		return record{}, errCorruptFrame
	}
	return r, nil
}

func decodeEntry(d *decoder) raft.Entry {
	entry := raft.Entry{Index: d.uvarint(), Term: d.uvarint(), Kind: raft.EntryKind(d.byte())}
	if data := d.bytes(d.uvarint()); len(data) > 0 {
		entry.Data = data
	}
	return entry
}

func encodeFrame(sequence uint64, payload []byte) []byte {
	out := make([]byte, frameHeaderSize, frameHeaderSize+len(payload))
	binary.LittleEndian.PutUint32(out, uint32(len(payload)))
	binary.LittleEndian.PutUint64(out[sequenceOffset:], sequence)
	out = append(out, payload...)
	binary.LittleEndian.PutUint32(out[4:], frameChecksum(out))
	return out
}

// frameChecksum returns the CRC-32C of the length, the sequence number and the payload of a frame.
func frameChecksum(frame []byte) uint32 {
	sum := crc32.Update(0, crcTable, frame[:4])
	return crc32.Update(sum, crcTable, frame[sequenceOffset:])
}

// decodeFrame decodes the first frame of data and returns its size.
func decodeFrame(data []byte) (sequence uint64, payload []byte, size int, err error) {
	if len(data) < frameHeaderSize {
		return 0, nil, 0, errIncompleteFrame
	}
	length := binary.LittleEndian.Uint32(data)
	if length == 0 || length > maxPayloadSize {
		return 0, nil, 0, errCorruptFrame
	}
	size = frameHeaderSize + int(length)
	if size > len(data) {
		return 0, nil, 0, errIncompleteFrame
	}
	frame := data[:size]
	if binary.LittleEndian.Uint32(frame[4:]) != frameChecksum(frame) {
		return 0, nil, 0, errCorruptFrame
	}
	return binary.LittleEndian.Uint64(frame[sequenceOffset:]), frame[frameHeaderSize:], size, nil
}

// containsLaterFrame reports whether a valid frame with a sequence number above the given one starts at any offset of
// data. Such a frame was written after the corrupt one had been synced, so an interrupted write cannot be the cause of
// the corruption.
func containsLaterFrame(data []byte, above uint64) bool {
	limit := above + uint64(len(data)/frameHeaderSize)
	for offset := 1; offset+frameHeaderSize < len(data); offset++ {
		// The sequence number is checked first, because computing a checksum at each offset would take quadratic time.
		sequence := binary.LittleEndian.Uint64(data[offset+sequenceOffset:])
		if sequence <= above || (above > 0 && sequence > limit) {
			continue
		}
		if _, _, _, err := decodeFrame(data[offset:]); err == nil {
			return true
		}
	}
	return false
}
