package wal

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
)

const (
	testDir         = "/d/log"
	testSegmentSize = 300
	crashRuns       = 400
)

func TestWAL(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "WAL")
}

func entry(index, term uint64, data string) raft.Entry {
	return raft.Entry{Index: index, Term: term, Kind: raft.EntryCommand, Data: []byte(data)}
}

func cloneCheckpoint(c Checkpoint) Checkpoint {
	c.Entries = append([]raft.Entry(nil), c.Entries...)
	return c
}

// equalCheckpoints reports whether two checkpoints are equal, treating nil and empty entries as equal.
func equalCheckpoints(a, b Checkpoint) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// runWithCrashes performs random saves and compactions with crashes and compares the log with a model after each
// recovery. The recovered log must contain everything that was acknowledged, and may contain the operation that the
// crash interrupted.
func runWithCrashes(seed uint64, dropSyncs bool) error {
	rng := rand.New(rand.NewPCG(seed, 9))
	fs := newMemFS(seed)
	model := Checkpoint{Identity: seed + 1}
	if err := Create(fs, testDir, model); err != nil {
		return err
	}
	fs.dropSyncs = dropSyncs
	log, _, err := Open(fs, testDir, testSegmentSize)
	if err != nil {
		return err
	}
	for range 40 {
		next := cloneCheckpoint(model)
		if rng.IntN(6) == 0 {
			fs.budget = rng.IntN(8)
		}
		if err := randomOperation(rng, log, &next); err == nil {
			model = next
			if rng.IntN(8) > 0 {
				continue
			}
		}
		fs.crash()
		if rng.IntN(3) == 0 {
			// Interrupt the recovery by another crash.
			fs.budget = rng.IntN(6)
			_, _, _ = Open(fs, testDir, testSegmentSize)
			fs.crash()
		}
		var recovered Recovered
		if log, recovered, err = Open(fs, testDir, testSegmentSize); err != nil {
			return err
		}
		if !equalCheckpoints(recovered.Checkpoint, model) && !equalCheckpoints(recovered.Checkpoint, next) {
			return fmt.Errorf("recovered %+v, want %+v", recovered.Checkpoint, model)
		}
		model = cloneCheckpoint(recovered.Checkpoint)
	}
	return nil
}

func randomOperation(rng *rand.Rand, log *Log, c *Checkpoint) error {
	last := c.Compacted.Index + uint64(len(c.Entries))
	if rng.IntN(5) == 0 && len(c.Entries) > 0 {
		at := c.Entries[rng.IntN(len(c.Entries))]
		c.Entries = c.Entries[at.Index-c.Compacted.Index:]
		c.Compacted = raft.Position{Index: at.Index, Term: at.Term}
		return log.Compact(cloneCheckpoint(*c))
	}
	c.State.Term += rng.Uint64N(2)
	c.State.Vote = rng.Uint64N(3)
	from := last + 1
	if len(c.Entries) > 0 && rng.IntN(3) == 0 {
		from -= rng.Uint64N(uint64(len(c.Entries)))
	}
	var entries []raft.Entry
	for i := range rng.Uint64N(4) {
		entries = append(entries, entry(from+i, c.State.Term, fmt.Sprint(rng.Uint64())))
	}
	if len(entries) > 0 {
		c.Entries = append(c.Entries[:from-c.Compacted.Index-1], entries...)
	}
	return log.Save(c.State, entries)
}

var _ = ginkgo.Describe("a crash", func() {
	ginkgo.It("at any point of any operation loses no acknowledged data", func() {
		for seed := range uint64(crashRuns) {
			Expect(runWithCrashes(seed, false)).To(Succeed(), "seed %d", seed)
		}
	})

	ginkgo.It("loses data if the log acknowledges before sync, which shows that the check detects lost data", func() {
		failures := 0
		for seed := range uint64(crashRuns) {
			if runWithCrashes(seed, true) != nil {
				failures++
			}
		}
		Expect(failures).To(BeNumerically(">", 0))
	})

	ginkgo.It("during creation leaves a log that is either absent or complete", func() {
		for budget := range 12 {
			fs := newMemFS(uint64(budget))
			fs.budget = budget
			_ = Create(fs, testDir, Checkpoint{Identity: 7})
			fs.crash()
			exists, err := Exists(fs, testDir)
			Expect(err).NotTo(HaveOccurred())
			if !exists {
				Expect(Create(fs, testDir, Checkpoint{Identity: 7})).To(Succeed())
			}
			_, recovered, err := Open(fs, testDir, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(recovered.Identity).To(Equal(uint64(7)))
		}
	})
})

// writeLog writes a log with the given number of saves and returns its file system and the names of its segments.
func writeLog(saves int) (*memFS, []string) {
	fs := newMemFS(1)
	Expect(Create(fs, testDir, Checkpoint{Identity: 1})).To(Succeed())
	log, _, err := Open(fs, testDir, testSegmentSize)
	Expect(err).NotTo(HaveOccurred())
	for i := range uint64(saves) {
		Expect(log.Save(raft.HardState{Term: 1}, []raft.Entry{entry(i+1, 1, "some command")})).To(Succeed())
	}
	Expect(log.Close()).To(Succeed())
	names, _ := fs.ReadDir(testDir)
	return fs, names
}

var _ = ginkgo.Describe("corruption", func() {
	ginkgo.It("in the form of a torn tail is truncated and reported", func() {
		fs, names := writeLog(20)
		last := fs.files[testDir+"/"+names[len(names)-1]]
		last.data = last.data[:len(last.data)-3]
		log, recovered, err := Open(fs, testDir, testSegmentSize)
		Expect(err).NotTo(HaveOccurred())
		Expect(recovered.Torn).NotTo(BeNil())
		Expect(recovered.Entries).To(HaveLen(19))
		Expect(log.Save(raft.HardState{Term: 1}, []raft.Entry{entry(20, 1, "again")})).To(Succeed())
		_, recovered, err = Open(fs, testDir, testSegmentSize)
		Expect(err).NotTo(HaveOccurred())
		Expect(recovered.Torn).To(BeNil())
		Expect(recovered.Entries).To(HaveLen(20))
	})

	ginkgo.It("at any byte before an intact frame fails Open with a typed error", func() {
		pristine, names := writeLog(20)
		lastName := testDir + "/" + names[len(names)-1]
		lastFrame := len(encodeFrame(1, encodeRecord(record{
			kind: kindSave, state: raft.HardState{Term: 1}, entries: []raft.Entry{entry(20, 1, "some command")},
		})))
		for path, file := range pristine.files {
			end := len(file.data)
			if path == lastName {
				end -= lastFrame
			}
			for offset := range end {
				fs, _ := writeLog(20)
				fs.files[path].data[offset] ^= 0x10
				_, _, err := Open(fs, testDir, testSegmentSize)
				Expect(fault.Is(err, fault.Corrupt)).To(BeTrue(), "%s at %d: %v", path, offset, err)
			}
		}
	})

	ginkgo.It("by a missing segment fails Open with a typed error", func() {
		_, names := writeLog(40)
		Expect(len(names)).To(BeNumerically(">", 3))
		for _, name := range names[:len(names)-1] {
			fs, _ := writeLog(40)
			delete(fs.files, testDir+"/"+name)
			_, _, err := Open(fs, testDir, testSegmentSize)
			Expect(fault.Is(err, fault.Corrupt)).To(BeTrue(), "%s: %v", name, err)
		}
	})

	ginkgo.It("by a disk failure at runtime is a permanent typed error, so that nothing more is acknowledged", func() {
		fs, _ := writeLog(1)
		log, _, err := Open(fs, testDir, testSegmentSize)
		Expect(err).NotTo(HaveOccurred())
		fs.budget = 1
		err = log.Save(raft.HardState{Term: 2}, nil)
		Expect(fault.Is(err, fault.StorageFailed)).To(BeTrue())
		fs.budget = -1
		Expect(fault.Is(log.Save(raft.HardState{Term: 2}, nil), fault.StorageFailed)).To(BeTrue())
		Expect(fault.Is(log.Compact(Checkpoint{}), fault.StorageFailed)).To(BeTrue())
	})
})

var _ = ginkgo.It("removes the earlier segments after a compaction", func() {
	fs, before := writeLog(60)
	log, _, err := Open(fs, testDir, testSegmentSize)
	Expect(err).NotTo(HaveOccurred())
	Expect(log.Compact(Checkpoint{Compacted: raft.Position{Index: 60, Term: 1}})).To(Succeed())
	names, _ := fs.ReadDir(testDir)
	Expect(len(before)).To(BeNumerically(">", 1))
	Expect(names).To(HaveLen(1))
	_, recovered, err := Open(fs, testDir, testSegmentSize)
	Expect(err).NotTo(HaveOccurred())
	Expect(recovered.Identity).To(Equal(uint64(1)))
	Expect(recovered.Compacted.Index).To(Equal(uint64(60)))
})

// FuzzDecode guards against input that crashes the decoders, and against records and frames that do not round-trip.
func FuzzDecode(f *testing.F) {
	save := record{kind: kindSave, state: raft.HardState{Term: 3, Vote: 2, Commit: 1}, entries: []raft.Entry{entry(1, 3, "x")}}
	checkpoint := record{kind: kindCheckpoint, identity: 9, compacted: raft.Position{Index: 4, Term: 2}}
	f.Add(encodeFrame(1, encodeRecord(save)))
	f.Add(encodeFrame(2, encodeRecord(checkpoint)))
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeRecord(data); err == nil {
			again, err := decodeRecord(encodeRecord(r))
			if err != nil || !reflect.DeepEqual(r, again) {
				t.Fatalf("%+v does not round-trip: got %+v, error %v", r, again, err)
			}
		}
		sequence, payload, size, err := decodeFrame(data)
		if err == nil && !bytes.Equal(encodeFrame(sequence, payload), data[:size]) {
			t.Fatal("re-encoded frame differs from the input")
		}
		parseSegment(segmentName(sequence), data)
		containsLaterFrame(data, sequence)
	})
}
