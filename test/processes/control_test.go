package processes_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

func report(name string, duration time.Duration) {
	AddReportEntry(name, duration.Round(time.Millisecond).String())
}

// waitInForce asserts the bound of P8 and reports the time.
func waitInForce(g *group, revision uint64, accepted time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), accepted.Add(inForceBound))
	defer cancel()
	Expect(g.client.WaitInForce(ctx, revision)).To(Succeed(), "P8: not in force within the bound")
	report("time to in force", time.Since(accepted))
}

// direct returns a client of one member only.
func direct(m *member) *controlrpc.Client {
	client := controlrpc.NewClient([]string{m.address}, controlrpc.PlainDialer)
	DeferCleanup(client.Close)
	return client
}

var _ = Describe("three control processes", func() {
	It("lose no accepted change when the leader is killed under a stream of changes", func() {
		g := startGroup()
		g.startEntryVM("entry-1")
		s := g.newStream()
		s.applyFor(500 * time.Millisecond)
		steady := s.longest
		lost := g.leader()
		lost.kill()
		s.apply()
		accepted := time.Now()
		report("longest change before the kill", steady)
		report("failover time", s.longest)
		waitInForce(g, s.revision, accepted)
		s.applyFor(300 * time.Millisecond)
		lost.start()
		s.applyFor(300 * time.Millisecond)
		s.check(g)
	})

	It("hand leadership over at a planned stop", func() {
		g := startGroup()
		s := g.newStream()
		s.applyFor(200 * time.Millisecond)
		leader := g.leader()
		leader.signal(syscall.SIGTERM)
		Expect(leader.running.Wait()).To(Succeed())
		leader.running = nil
		s.longest = 0
		s.apply()
		report("first change after a planned stop", s.longest)
		s.check(g)
	})

	It("fence a leader that was frozen for 5 s", func() {
		g := startGroup()
		s := g.newStream()
		s.apply()
		frozen := g.leader()
		frozen.signal(syscall.SIGSTOP)
		begin := time.Now()
		s.apply()
		report("failover time", s.longest)
		s.applyFor(5*time.Second - time.Since(begin))
		frozen.signal(syscall.SIGCONT)
		known := s.version
		if view, _, err := direct(frozen).View(within(time.Second), 0); err == nil {
			Expect(view.Config.Version).To(BeNumerically(">=", known), "the resumed leader served an old view")
		}
		s.applyFor(300 * time.Millisecond)
		s.check(g)
	})

	DescribeTable("accept nothing at a leader behind a silent partition", func(direction string) {
		g := startGroup()
		g.startEntryVM("entry-1")
		s := g.newStream()
		s.apply()
		isolated := g.leader()
		isolated.cut(direction, g.others(isolated)...)
		time.Sleep(100 * time.Millisecond)
		_, err := direct(isolated).Propose(within(4*time.Second), changeTo("behind-the-partition", s.version))
		Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable), "the isolated leader accepted a change")
		// The other members may or may not have received the entry. The resend has one result in either case.
		s.applyAs("behind-the-partition")
		accepted := time.Now()
		_, _, err = direct(isolated).View(within(time.Second), 0)
		Expect(err).To(HaveOccurred(), "the isolated leader served a view")
		waitInForce(g, s.revision, accepted)
		s.applyFor(200 * time.Millisecond)
		isolated.cut("")
		s.applyFor(time.Second)
		s.check(g)
	},
		Entry("that cuts both directions", "both"),
		Entry("that cuts only what the leader receives, so that its heartbeats still arrive", "in"),
		Entry("that cuts only what the leader sends", "out"),
	)

	It("let one of two operators with the same base version win, and answer resends like the first time", func() {
		g := startGroup()
		for round := range 5 {
			var racing sync.WaitGroup
			exits := make([]int, 2)
			for operator := range exits {
				file := g.inventoryFile(fmt.Sprintf("round-%d-%d", round, operator))
				racing.Go(func() {
					_, exits[operator] = g.ctl("apply", "--file", file, "--base", strconv.Itoa(round))
				})
			}
			racing.Wait()
			Expect(exits).To(ConsistOf(0, 3), "one wins, the other gets a conflict")
		}
		_, _ = g.client.Propose(within(time.Millisecond), changeTo("lost-answer", 5))
		file := g.inventoryFile("lost-answer")
		var first, second struct{ Version, Revision uint64 }
		g.ctlJSON(&first, "apply", "--file", file, "--base", "5", "--change", "lost-answer")
		Expect(first.Version).To(BeEquivalentTo(6))
		_, exit := g.ctl("apply", "--file", g.inventoryFile("other"), "--base", "6")
		Expect(exit).To(BeZero())
		g.ctlJSON(&second, "apply", "--file", file, "--base", "5", "--change", "lost-answer")
		Expect(second).To(Equal(first))
		_, exit = g.ctl("apply", "--file", g.inventoryFile("third"), "--base", "7", "--change", "lost-answer")
		Expect(exit).To(Equal(3), "the identifier was used with other content")
		Expect(g.view().Config.Version).To(BeEquivalentTo(7))
	})

	It("tell operators by the exit code what went wrong", func() {
		g := startGroup()
		_, exit := g.ctl("drain", "upstream", "missing")
		Expect(exit).To(Equal(4))
		_, exit = g.ctl("bookings", "show", "missing")
		Expect(exit).To(Equal(4))
		Expect(os.WriteFile(g.root+"/bad.toml", []byte("[[service]]\nname = \"a\"\n[[rule]]\nservice = \"b\"\n"), 0o600)).To(Succeed())
		output, exit := g.ctl("apply", "--file", g.root+"/bad.toml", "--base", "0")
		Expect(exit).To(Equal(2))
		Expect(output).To(And(ContainSubstring(`service[0] "a".kind`), ContainSubstring(`rule[0] "b".service`)))
		for _, wrong := range [][]string{{"drain", "missing"}, {"--unknown"}, {"members", "extra"}} {
			_, exit = g.ctl(wrong...)
			Expect(exit).To(Equal(2), "%v", wrong)
		}
		output, exit = g.ctl("apply", "--file", g.inventoryFile("dry"), "--base", "1", "--dry-run")
		Expect(exit).To(Equal(3), output)
		Expect(output).To(ContainSubstring(`+ region "dry"`))
		Expect(g.view().Config.Version).To(BeZero(), "a dry run changes nothing")
		for _, m := range g.members[1:] {
			m.kill()
		}
		_, exit = g.ctl("status", "--timeout", "3s")
		Expect(exit).To(Equal(5), "no quorum")
	})

	It("serve the last accepted change after all were killed after 500 changes", func() {
		g := startGroup()
		s := g.newStream()
		begin := time.Now()
		for range 500 {
			s.apply()
		}
		report("500 changes", time.Since(begin))
		for _, m := range g.members {
			m.kill()
		}
		for _, m := range g.members {
			m.start()
		}
		begin = time.Now()
		s.check(g)
		report("first answer after the restart", time.Since(begin))
		s.apply()
		s.check(g)
	})

	It("lose nothing when a second member is lost right after a wiped one was repaired", func() {
		g := startGroup()
		s := g.newStream()
		for range 250 {
			s.apply()
		}
		wiped := g.others(g.leader())[0]
		old := ""
		for _, m := range g.groupMembers() {
			if m.Name == wiped.name {
				old = m.ID
			}
		}
		wiped.kill()
		Expect(os.RemoveAll(wiped.dir)).To(Succeed())
		wiped.start()
		s.apply()
		begin := time.Now()
		Eventually(func() int {
			_, exit := g.ctl("control", "remove", old)
			return exit
		}, readyTimeout, poll).Should(BeZero())
		Eventually(func() int {
			_, exit := g.ctl("control", "add", wiped.name, wiped.address)
			return exit
		}, readyTimeout, poll).Should(BeZero())
		g.awaitVoters(3)
		report("repair of a wiped member", time.Since(begin))
		s.apply()
		g.others(wiped)[0].kill()
		s.longest = 0
		s.apply()
		report("first change after the second loss", s.longest)
		s.check(g)
	})
})
