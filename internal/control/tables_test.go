package control_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// encodedReply returns the reply as it is sent.
func encodedReply(reply controlrpc.WatchReply) []byte {
	var data bytes.Buffer
	Expect(gob.NewEncoder(&data).Encode(reply)).To(Succeed())
	return data.Bytes()
}

// largeTable returns a table of 225 services with 45 routes to 90 shards and the number of routes to one service.
func largeTable(version uint64, simple int) route.Table {
	t := route.Table{Version: version}
	for n := range 225 {
		t.Services = append(t.Services, route.Service{Name: fmt.Sprintf("service-%03d", n), HealthPath: "/health", MaxConnections: 64})
	}
	for n := range 45 {
		r := route.Route{Name: fmt.Sprintf("search-%02d", n), Host: "search.example", Prefix: fmt.Sprintf("/search/%02d/", n),
			Timeout: time.Second, Objective: 200 * time.Millisecond, Top: 10, Coverage: 0.9}
		for shard := range 90 {
			r.Shards = append(r.Shards, t.Services[(n*5+shard)%len(t.Services)].Name)
		}
		t.Routes = append(t.Routes, r)
	}
	for n := range simple {
		t.Routes = append(t.Routes, route.Route{Name: fmt.Sprintf("route-%04d", n), Host: "shop.example", Prefix: fmt.Sprintf("/shop/%04d/", n),
			Timeout: time.Second, Objective: 100 * time.Millisecond, Service: t.Services[n%len(t.Services)].Name})
	}
	return t
}

// tableLeader is a leader to which tables can be put and that answers watches.
type tableLeader struct {
	*control.Service
	machine *control.Machine
}

func newTableLeader(snapshot []byte) tableLeader {
	machine := control.NewMachine()
	if snapshot != nil {
		Expect(machine.Restore(snapshot)).To(Succeed())
	}
	return tableLeader{control.NewService("one", machine, control.NewMemoryReplicator("one", machine), time.Now), machine}
}

func (l tableLeader) put(tables ...route.Table) {
	for _, table := range tables {
		var reply controlrpc.PutRoutesReply
		Expect(l.PutRoutes(controlrpc.PutRoutesArgs{Table: table}, &reply)).To(Succeed())
		Expect(reply.Fault).To(BeNil())
	}
}

func (l tableLeader) watch(known, tableVersion uint64) controlrpc.WatchReply {
	var reply, received controlrpc.WatchReply
	Expect(l.Watch(controlrpc.WatchArgs{Known: known, TableVersion: tableVersion, Watcher: "w"}, &reply)).To(Succeed())
	Expect(reply.Fault).To(BeNil())
	Expect(gob.NewDecoder(bytes.NewReader(encodedReply(reply))).Decode(&received)).To(Succeed())
	return received
}

func expectWhole(reply controlrpc.WatchReply, version uint64) {
	Expect(reply.TableChange).To(BeNil())
	Expect(reply.Table).NotTo(BeNil())
	Expect(reply.Table.Version).To(Equal(version))
}

// Guards against a change that begins with another table than that of the entry VM.
var _ = Describe("the table in the reply to a watch", func() {
	table := func(version uint64) route.Table {
		t := largeTable(version, 20)
		t.Routes[45].Rank = int(version)
		return t
	}

	It("is the change from the version of each VM, and whole for VMs that send none", func() {
		leader := newTableLeader(nil)
		leader.put(table(1), table(2), table(5))
		revision := leader.watch(0, 0).Revision
		for _, held := range []uint64{1, 2} {
			reply := leader.watch(revision-1, held)
			Expect(reply.Table).To(BeNil())
			Expect(reply.TableChange.From).To(Equal(held))
			Expect(reply.TableChange.Routes).To(HaveLen(1))
			Expect(reply.TableChange.Apply(table(held))).To(Equal(table(5)))
		}
		expectWhole(leader.watch(revision-1, 0), 5)
		expectWhole(leader.watch(0, 0), 5)
		settled := leader.watch(revision, 5)
		Expect(settled.Table).To(BeNil())
		Expect(settled.TableChange).To(BeNil())
	})

	It("is computed once for all VMs of a version", func() {
		leader := newTableLeader(nil)
		leader.put(table(1), table(2))
		var first, second controlrpc.WatchReply
		args := controlrpc.WatchArgs{Known: 1, TableVersion: 1, Watcher: "w"}
		Expect(leader.Watch(args, &first)).To(Succeed())
		Expect(leader.Watch(args, &second)).To(Succeed())
		Expect(first.TableChange).NotTo(BeNil())
		Expect(second.TableChange).To(BeIdenticalTo(first.TableChange))
	})

	It("is the change also from a new leader that applied the older table as a follower", func() {
		elected := newTableLeader(nil)
		for version := uint64(1); version <= 2; version++ {
			command := controlstate.Command{PutRoutes: &controlstate.PutRoutes{Table: table(version)}}
			data, err := command.Encode()
			Expect(err).NotTo(HaveOccurred())
			elected.machine.Apply(version, data)
		}
		Expect(elected.watch(1, 1).TableChange.Apply(table(1))).To(Equal(table(2)))
	})

	// A member that does not lead serves only VMs without any state, and another leader may have replaced its table.
	It("is whole in a provisional reply, whatever version the VM names", func() {
		machine := control.NewMachine()
		for version := uint64(1); version <= 2; version++ {
			command := controlstate.Command{PutRoutes: &controlstate.PutRoutes{Table: table(version)}}
			data, err := command.Encode()
			Expect(err).NotTo(HaveOccurred())
			machine.Apply(version, data)
		}
		follower := control.NewService("two", machine, control.NewMemoryReplicator("one", machine), time.Now)
		var reply controlrpc.WatchReply
		Expect(follower.Watch(controlrpc.WatchArgs{TableVersion: 1, Watcher: "w"}, &reply)).To(Succeed())
		Expect(reply.Fault).To(BeNil())
		Expect(reply.Provisional).To(BeTrue())
		expectWhole(reply, 2)
	})

	It("is whole for a version that the leader does not have, or no longer has", func() {
		leader := newTableLeader(nil)
		for version := uint64(1); version <= 9; version++ {
			leader.put(table(version))
		}
		expectWhole(leader.watch(1, 1), 9)
		Expect(leader.watch(1, 2).TableChange.From).To(BeEquivalentTo(2))
		expectWhole(leader.watch(1, 20), 9)
	})

	It("is whole after a restart of the leader from a snapshot, until the next table", func() {
		leader := newTableLeader(nil)
		leader.put(table(1), table(2))
		snapshot, err := leader.machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restarted := newTableLeader(snapshot)
		expectWhole(restarted.watch(1, 1), 2)
		command := controlstate.Command{PutRoutes: &controlstate.PutRoutes{Table: table(3)}}
		data, err := command.Encode()
		Expect(err).NotTo(HaveOccurred())
		restarted.machine.Apply(10, data)
		expectWhole(restarted.watch(1, 1), 3)
		Expect(restarted.watch(2, 2).TableChange.Apply(table(2))).To(Equal(table(3)))
	})

	It("is whole if a restored snapshot replaced the state of the leader", func() {
		other := newTableLeader(nil)
		other.put(table(1), table(4))
		snapshot, err := other.machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		leader := newTableLeader(nil)
		leader.put(table(1), table(2))
		Expect(leader.machine.Restore(snapshot)).To(Succeed())
		expectWhole(leader.watch(1, 1), 4)
	})

	It("is whole if the change is not smaller", func() {
		leader := newTableLeader(nil)
		next := largeTable(2, 5)
		for n := range next.Services {
			next.Services[n].MaxConnections++
		}
		for n := range next.Routes {
			next.Routes[n].Rank++
		}
		slices.Reverse(next.Routes)
		leader.put(largeTable(1, 5), next)
		expectWhole(leader.watch(1, 1), 2)
	})

	It("is computed from tables of at most 4 MB together", func() {
		leader := newTableLeader(nil)
		large := func(version uint64) route.Table {
			t := table(version)
			t.Routes[0].Prefix = "/" + string(bytes.Repeat([]byte{'x'}, 3<<19)) + "/"
			return t
		}
		leader.put(large(1), large(2), large(3))
		expectWhole(leader.watch(1, 1), 3)
		Expect(leader.watch(2, 2).TableChange.From).To(BeEquivalentTo(2))
	})

	It("takes less than a tenth of the bytes for one changed route", func() {
		for _, simple := range []int{0, 1800} {
			leader := newTableLeader(nil)
			next := largeTable(2, simple)
			next.Routes[len(next.Routes)/2].Rank = 1
			leader.put(largeTable(1, simple), next)
			whole, change := leader.watch(1, 0), leader.watch(1, 1)
			expectWhole(whole, 2)
			Expect(change.TableChange).NotTo(BeNil())
			AddReportEntry(fmt.Sprintf("225 services, 45 + %d routes: whole %d bytes, change %d bytes", simple, len(encodedReply(whole)), len(encodedReply(change))))
			Expect(len(encodedReply(change)) * 10).To(BeNumerically("<", len(encodedReply(whole))))
		}
	})
})
