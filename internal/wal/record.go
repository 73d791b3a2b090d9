package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/wisteriamux/wisteriamux/internal/raft"
)

// A frame is: length of the payload (uint32), CRC-32C of the rest (uint32), sequence number (uint64), payload. One
// Save is one frame, so that an interrupted write damages only the last frame of the log.
const (
	frameHeaderSize = 16
	maxPayloadSize  = 1 << 30
	sequenceOffset  = 8
)

type recordKind byte

const (
	// kindCheckpoint holds everything that is in force; earlier frames are obsolete.
	kindCheckpoint recordKind = 1
	// kindSave holds a hard state and entries that replace any with the same or a later index.
	kindSave recordKind = 2
)

var (
	errIncompleteFrame = errors.New("frame is incomplete")
	errCorruptFrame    = errors.New("frame is damaged")

	crcTable = crc32.MakeTable(crc32.Castagnoli)
)

// record is the payload of a frame. Identity and Mark are present in checkpoints only.
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

// decoder reads fields until one is malformed; after that every field is zero.
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

// frameChecksum covers the length, the sequence number and the payload.
func frameChecksum(frame []byte) uint32 {
	sum := crc32.Update(0, crcTable, frame[:4])
	return crc32.Update(sum, crcTable, frame[sequenceOffset:])
}

// decodeFrame returns the first frame of data and its size.
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

// containsLaterFrame reports whether any offset of data starts a valid frame with a sequence number above the given one.
// Such a frame was written after the damaged one had been synced, so the damage is no interrupted write.
func containsLaterFrame(data []byte, above uint64) bool {
	limit := above + uint64(len(data)/frameHeaderSize)
	for offset := 1; offset+frameHeaderSize < len(data); offset++ {
		// The range of the sequence number is checked first, because a checksum at each offset would be quadratic.
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
