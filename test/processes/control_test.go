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

func reportDuration(name string, duration time.Duration) {
	AddReportEntry(name, duration.Round(time.Millisecond).String())
}

// expectInForce expects the revision to be in force within the bound of P8, and reports the time that it took.
func expectInForce(g *group, revision uint64, acceptedAt time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), acceptedAt.Add(inForceTimeout))
	defer cancel()
	Expect(g.client.WaitInForce(ctx, revision)).To(Succeed(), "P8: the revision was not in force within the bound")
	reportDuration("time to in force", time.Since(acceptedAt))
}

// clientOf returns a client that calls only this member.
func clientOf(m *member) *controlrpc.Client {
	client := controlrpc.NewClient([]string{m.address}, controlrpc.PlainDialer)
	DeferCleanup(client.Close)
	return client
}

var _ = Describe("three control processes", func() {
	It("lose no accepted change when the leader is killed while changes are applied", func() {
		g := startGroup()
		g.startEntryVM("entry-1")
		s := g.newChangeStream()
		s.applyFor(500 * time.Millisecond)
		longestBefore := s.longestChange
		killed := g.leader()
		killed.kill()
		s.apply()
		acceptedAt := time.Now()
		reportDuration("longest change before the kill", longestBefore)
		reportDuration("failover time", s.longestChange)
		expectInForce(g, s.revision, acceptedAt)
		s.applyFor(300 * time.Millisecond)
		killed.start()
		s.applyFor(300 * time.Millisecond)
		s.checkServed(g)
	})

	It("transfer leadership at a planned stop", func() {
		g := startGroup()
		s := g.newChangeStream()
		s.applyFor(200 * time.Millisecond)
		leader := g.leader()
		leader.signal(syscall.SIGTERM)
		Expect(leader.command.Wait()).To(Succeed())
		leader.command = nil
		s.longestChange = 0
		s.apply()
		reportDuration("first change after a planned stop", s.longestChange)
		s.checkServed(g)
	})

	It("fence a leader that was frozen for 5 s", func() {
		g := startGroup()
		s := g.newChangeStream()
		s.apply()
		frozen := g.leader()
		frozen.signal(syscall.SIGSTOP)
		begin := time.Now()
		s.apply()
		reportDuration("failover time", s.longestChange)
		s.applyFor(5*time.Second - time.Since(begin))
		frozen.signal(syscall.SIGCONT)
		acceptedVersion := s.version
		if view, _, err := clientOf(frozen).View(contextWithTimeout(time.Second), 0); err == nil {
			Expect(view.Config.Version).To(BeNumerically(">=", acceptedVersion), "the resumed leader served a stale view")
		}
		s.applyFor(300 * time.Millisecond)
		s.checkServed(g)
	})

	DescribeTable("accept no change at a leader behind a partition that drops packets", func(direction string) {
		g := startGroup()
		g.startEntryVM("entry-1")
		s := g.newChangeStream()
		s.apply()
		isolated := g.leader()
		isolated.setFaultRules(direction, g.others(isolated)...)
		time.Sleep(100 * time.Millisecond)
		_, err := clientOf(isolated).Propose(contextWithTimeout(4*time.Second), applyConfigCommand("behind-the-partition", s.version))
		Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable), "the isolated leader accepted a change")
		// The entry may or may not have reached the other members. In both cases the resend makes the change exactly once.
		s.applyWithID("behind-the-partition")
		acceptedAt := time.Now()
		_, _, err = clientOf(isolated).View(contextWithTimeout(time.Second), 0)
		Expect(err).To(HaveOccurred(), "the isolated leader served a view")
		expectInForce(g, s.revision, acceptedAt)
		s.applyFor(200 * time.Millisecond)
		isolated.setFaultRules("")
		s.applyFor(time.Second)
		s.checkServed(g)
	},
		Entry("in both directions", "both"),
		Entry("only to the leader, while its heartbeats still reach the followers", "in"),
		Entry("only from the leader", "out"),
	)

	It("accept one of two changes with the same base version, and answer a resend like the original", func() {
		g := startGroup()
		for round := range 5 {
			var operators sync.WaitGroup
			exitCodes := make([]int, 2)
			for operator := range exitCodes {
				file := g.writeInventory(fmt.Sprintf("round-%d-%d", round, operator))
				operators.Go(func() {
					_, exitCodes[operator] = g.wmuxctl("apply", "--file", file, "--base", strconv.Itoa(round))
				})
			}
			operators.Wait()
			Expect(exitCodes).To(ConsistOf(0, 3), "one change is accepted, the other conflicts")
		}
		_, _ = g.client.Propose(contextWithTimeout(time.Millisecond), applyConfigCommand("lost-answer", 5))
		file := g.writeInventory("lost-answer")
		var first, second struct{ Version, Revision uint64 }
		g.wmuxctlJSON(&first, "apply", "--file", file, "--base", "5", "--change", "lost-answer")
		Expect(first.Version).To(BeEquivalentTo(6))
		_, exitCode := g.wmuxctl("apply", "--file", g.writeInventory("other"), "--base", "6")
		Expect(exitCode).To(BeZero())
		g.wmuxctlJSON(&second, "apply", "--file", file, "--base", "5", "--change", "lost-answer")
		Expect(second).To(Equal(first))
		_, exitCode = g.wmuxctl("apply", "--file", g.writeInventory("third"), "--base", "7", "--change", "lost-answer")
		Expect(exitCode).To(Equal(3), "the change ID was used before with other content")
		Expect(g.view().Config.Version).To(BeEquivalentTo(7))
	})

	// Guards against planned work that takes the last member that the group can lose, unnoticed.
	It("show how many members they can lose, and warn before a removal that lowers the number", func() {
		g := startGroup()
		output, exitCode := g.wmuxctl("control", "members")
		Expect(exitCode).To(BeZero(), output)
		Expect(output).To(ContainSubstring("the group can lose 1 more members"))
		g.wmuxctlJSON(&[]map[string]any{}, "control", "members")
		removed := g.others(g.leader())[0]
		output, exitCode = g.wmuxctl("control", "remove", removed.name)
		Expect(exitCode).To(BeZero(), output)
		Expect(output).To(ContainSubstring("warning: after the removal of " + removed.name + ", the group can lose 0 more members"))
	})

	It("report the kind of an error by the exit code of wmuxctl", func() {
		g := startGroup()
		_, exitCode := g.wmuxctl("drain", "upstream", "missing")
		Expect(exitCode).To(Equal(4))
		_, exitCode = g.wmuxctl("bookings", "show", "missing")
		Expect(exitCode).To(Equal(4))
		Expect(os.WriteFile(g.workDir+"/bad.toml", []byte("[[service]]\nname = \"a\"\n[[rule]]\nservice = \"b\"\n"), 0o600)).To(Succeed())
		output, exitCode := g.wmuxctl("apply", "--file", g.workDir+"/bad.toml", "--base", "0")
		Expect(exitCode).To(Equal(2))
		Expect(output).To(And(ContainSubstring(`service[0] "a".kind`), ContainSubstring(`rule[0] "b".service`)))
		for _, arguments := range [][]string{{"drain", "missing"}, {"--unknown"}, {"members", "extra"}} {
			_, exitCode = g.wmuxctl(arguments...)
			Expect(exitCode).To(Equal(2), "%v", arguments)
		}
		output, exitCode = g.wmuxctl("apply", "--file", g.writeInventory("dry"), "--base", "1", "--dry-run")
		Expect(exitCode).To(Equal(3), output)
		Expect(output).To(ContainSubstring(`+ region "dry"`))
		Expect(g.view().Config.Version).To(BeZero(), "a dry run must not change the configuration")
		for _, m := range g.members[1:] {
			m.kill()
		}
		_, exitCode = g.wmuxctl("status", "--timeout", "3s")
		Expect(exitCode).To(Equal(5), "wmuxctl reports a lost quorum as unavailable")
	})

	It("serve the last accepted change after all members were killed after 500 changes", func() {
		g := startGroup()
		s := g.newChangeStream()
		begin := time.Now()
		for range 500 {
			s.apply()
		}
		reportDuration("500 changes", time.Since(begin))
		for _, m := range g.members {
			m.kill()
		}
		for _, m := range g.members {
			m.start()
		}
		begin = time.Now()
		s.checkServed(g)
		reportDuration("first response after the restart", time.Since(begin))
		s.apply()
		s.checkServed(g)
	})

	It("lose no accepted change when a second member is lost right after a wiped one was replaced", func() {
		g := startGroup()
		s := g.newChangeStream()
		for range 250 {
			s.apply()
		}
		wiped := g.others(g.leader())[0]
		wipedID := ""
		for _, m := range g.groupMembers() {
			if m.Name == wiped.name {
				wipedID = m.ID
			}
		}
		wiped.kill()
		Expect(os.RemoveAll(wiped.dir)).To(Succeed())
		wiped.start()
		s.apply()
		begin := time.Now()
		Eventually(func() int {
			_, exitCode := g.wmuxctl("control", "remove", wipedID)
			return exitCode
		}, readyTimeout, pollInterval).Should(BeZero())
		Eventually(func() int {
			_, exitCode := g.wmuxctl("control", "add", wiped.name, wiped.address)
			return exitCode
		}, readyTimeout, pollInterval).Should(BeZero())
		g.awaitVoters(3)
		reportDuration("replacement of a wiped member", time.Since(begin))
		s.apply()
		g.others(wiped)[0].kill()
		s.longestChange = 0
		s.apply()
		reportDuration("first change after the second loss", s.longestChange)
		s.checkServed(g)
	})
})
