package router

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

var _ = Describe("the decision about the key of a request", func() {
	const revoke = 5 * time.Second
	known := &route.Team{Name: "a"}
	aged := func(age time.Duration) viewAge { return viewAge{age: age, known: true} }
	never := viewAge{}

	DescribeTable("follows from the key and the age of the view", func(team *route.Team, age viewAge, revoke time.Duration, wanted KeyVerdict) {
		Expect(decideKey(team, age, revoke)).To(Equal(wanted))
	},
		Entry("known", known, aged(0), revoke, KeyAccepted),
		Entry("known, last moment", known, aged(4750*time.Millisecond-1), revoke, KeyAccepted),
		Entry("known, from the margin on", known, aged(4750*time.Millisecond), revoke, KeyUnsure),
		Entry("known, after days", known, aged(math.MaxInt64), revoke, KeyUnsure),
		Entry("known, no leader yet", known, never, revoke, KeyUnsure),
		Entry("known, revocation is off", known, aged(time.Hour), time.Duration(0), KeyAccepted),
		Entry("known, revocation is off, no leader yet", known, never, time.Duration(0), KeyAccepted),
		Entry("known, revocation below the margin", known, aged(0), 200*time.Millisecond, KeyUnsure),
		Entry("unknown", nil, aged(0), revoke, KeyUnknown),
		Entry("unknown, last moment", nil, aged(2*time.Second), revoke, KeyUnknown),
		Entry("unknown, view too old to be sure", nil, aged(2*time.Second+1), revoke, KeyUnsure),
		Entry("unknown, no leader yet", nil, never, revoke, KeyUnsure),
		Entry("unknown, revocation is off", nil, aged(2*time.Second), time.Duration(0), KeyUnknown),
		Entry("unknown, revocation is off, view too old", nil, aged(2*time.Second+1), time.Duration(0), KeyUnsure),
		Entry("unknown, revocation is off, no leader yet", nil, never, time.Duration(0), KeyUnsure),
	)

	table := func(version uint64) *route.Index { return route.NewIndex(route.Table{Version: version}) }
	other := &route.Team{Name: "b"}
	DescribeTable("is made again before a send, by the table of the sending VM", func(index *route.Index, team *route.Team, age viewAge, revoke time.Duration, wanted KeyVerdict) {
		Expect(decideSend("a", 7, index, team, age, revoke)).To(Equal(wanted))
	},
		Entry("the same table", table(7), known, aged(0), revoke, KeyAccepted),
		Entry("a newer table that keeps the key", table(8), known, aged(0), revoke, KeyAccepted),
		Entry("a newer table without the key", table(8), nil, aged(0), revoke, KeyUnknown),
		Entry("the same table without the key", table(7), nil, aged(0), revoke, KeyUnknown),
		Entry("a newer table with the key at another team", table(8), other, aged(0), revoke, KeyUnsure),
		Entry("an older table without the key, which may be new", table(6), nil, aged(0), revoke, KeyAccepted),
		Entry("an older table with the key at another team", table(6), other, aged(0), revoke, KeyAccepted),
		Entry("no table", nil, nil, aged(0), revoke, KeyAccepted),
		Entry("a view that is too old", table(7), known, aged(4750*time.Millisecond), revoke, KeyUnsure),
		Entry("an older table and a view that is too old", table(6), nil, aged(5*time.Second), revoke, KeyUnsure),
		Entry("no confirmed view", table(7), known, never, revoke, KeyUnsure),
		Entry("revocation is off, and the key is gone", table(8), nil, never, time.Duration(0), KeyAccepted),
	)

	DescribeTable("counts the time that the leader held a watch, as far as the watch can have been held", func(held, took, wanted time.Duration) {
		Expect(heldFor(held, took)).To(Equal(wanted))
	},
		Entry("a long poll", 600*time.Millisecond, 602*time.Millisecond, 600*time.Millisecond),
		Entry("a leader of an older version", time.Duration(0), 602*time.Millisecond, time.Duration(0)),
		Entry("a short poll", 3*time.Millisecond, 5*time.Millisecond, 3*time.Millisecond),
		Entry("a leader whose clock runs too fast", time.Hour, 302*time.Millisecond, 302*time.Millisecond),
		Entry("a leader whose clock runs too fast, and a VM that was frozen", time.Hour, time.Minute, 600*time.Millisecond),
		Entry("a leader that sends nonsense", -time.Second, 602*time.Millisecond, time.Duration(0)),
	)

	// With a shorter time every loss of a leader would make all VMs refuse requests with keys.
	It("leaves time for the loss of a leader", func() {
		const rounds = 2
		election := rounds * 2 * raftnode.DefaultElectionTicks * raftnode.DefaultTick
		sum := controlrpc.MaxWatchWait + controlrpc.CallTimeout + election + revokeMargin
		GinkgoWriter.Printf("watch %s + call %s + election %s + margin %s = %s\n", controlrpc.MaxWatchWait, controlrpc.CallTimeout, election, revokeMargin, sum)
		Expect(sum).To(Equal(3850 * time.Millisecond))
		Expect(MinKeyRevoke).To(Equal(sum))
		Expect(sum).To(BeNumerically("<", revoke))
	})
})
