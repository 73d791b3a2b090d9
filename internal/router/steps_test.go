package router

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/route"
)

// stepRecorder holds the last duration of each step.
type stepRecorder struct {
	mu    sync.Mutex
	steps map[Step]time.Duration
}

func (r *stepRecorder) observe(_ string, step Step, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps[step] = took
}

func (r *stepRecorder) took(step Step) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	took, ok := r.steps[step]
	Expect(ok).To(BeTrue(), "step %q was not recorded", step)
	return took
}

// Guards against a late search of which the metrics do not say in which step its time was spent.
var _ = Describe("the steps of a search", func() {
	It("are recorded at the VM of the caller and at the relay", func() {
		requester, relaying := startVM("requester", "a"), startVM("relaying", "b")
		recorder := &stepRecorder{steps: map[Step]time.Duration{}}
		requester.router.config.ObserveStep, relaying.router.config.ObserveStep = recorder.observe, recorder.observe
		rt := &route.Route{Name: "r", Idempotent: true, Attempts: 2, Timeout: 3 * time.Second, Objective: 800 * time.Millisecond, Top: 3, Coverage: 0.5,
			Shards: []string{"s0", "s1"}}
		upstreams := []*fakeUpstream{startFakeUpstream("s0-0", "s0", "b", 1), startFakeUpstream("s1-0", "s1", "b", 2)}
		requester.adopt(upstreams...)
		relaying.adopt(upstreams...)
		requester.connect("b", relaying.peer())
		_, err := requester.search(rt)
		Expect(err).NotTo(HaveOccurred())
		Expect(recorder.took(StepAdmitted)).To(BeNumerically("<=", recorder.took(StepSent)))
		Expect(recorder.took(StepFirstPart)).To(BeNumerically("<=", recorder.took(StepSufficient)))
		Expect(recorder.took(StepSufficient)).To(BeNumerically("<=", recorder.took(StepEnded)))
		Expect(recorder.took(StepRelayStart)).To(BeNumerically("<=", recorder.took(StepRelayAttempt)))
		recorder.took(StepRelayOverhead)
	})
})
