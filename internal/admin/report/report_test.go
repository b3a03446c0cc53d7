package report_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/BurntSushi/toml"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/report"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// startTime is 2026-12-04 10:00:00 UTC.
const startTime clock.Milli = 1796378400000

type fakeSource struct {
	name  string
	store *report.Store
	err   error
}

func (s *fakeSource) Name() string { return s.name }

func (s *fakeSource) Query(_ context.Context, q *report.Query) (report.Answer, error) {
	if s.err != nil {
		return report.Answer{}, s.err
	}
	return s.store.Answer(q), nil
}

func testConfig() *policy.Config {
	past := []policy.Exception{{
		ID: "centre-out-south", Effect: policy.EffectCentreOut, Scope: policy.Scope{Centre: "south"}, Author: "noc/ion",
		Reason: "The network of the hall is being replaced.", Start: startTime - clock.Minute, End: startTime + clock.Minute,
		Withdrawn: "noc/ana withdrew it and gave as reason: “The new network was tested.”",
	}}
	return &policy.Config{Revision: 12, Past: past, Exceptions: []policy.Exception{
		{
			ID: "out-cluj", Effect: policy.EffectCentreOut, Scope: policy.Scope{Centre: "cluj"}, Start: startTime, Author: "ana",
			Reason: "The power supply in Cluj is replaced.",
		},
		{
			ID: "booking-v2", Effect: policy.EffectVersionMove, Author: "mihai", Reason: "Version v2 confirms bookings faster.",
			Move: &policy.VersionMove{
				ID: "booking-v2", Service: "booking", NewVersion: "v2", FinishBy: startTime + clock.Hour, TakenBack: true,
				Evidence: "on route /book, 34 of 180 calls to the new version failed, but only 0 of 180 calls to the old version at the same time",
			},
		},
	}}
}

func newDecision(r *rand.Rand, dc, version string, reason call.Reason, o call.Outcome) report.Decision {
	return report.Decision{
		ID: call.NewID(r), At: startTime + clock.Minute, Service: "booking", Route: "/book", Centre: dc, Version: version,
		Target: "10.0.0.1:7400", Reason: reason, Outcome: o,
	}
}

// testSources returns three daemons, one of which does not answer, and the id
// of a request that was refused once and then answered.
func testSources() ([]report.Source, string) {
	r := rand.New(rand.NewPCG(1, 1))
	storeA, storeB := report.NewStore(startTime-clock.Hour, report.Options{}), report.NewStore(startTime+clock.Minute, report.Options{MaxCounters: 3})
	for range 1500 {
		storeA.RecordDecision(newDecision(r, "iasi", "v1", call.ReasonLocalCool, call.OutcomeAnswered))
	}
	for range 40 {
		storeB.RecordDecision(newDecision(r, "cluj", "v2", call.ReasonVersionShare, call.OutcomeAnswered))
		storeB.RecordDecision(newDecision(r, "", "", call.ReasonNoTarget, call.OutcomeNotRun))
	}
	storeA.RecordDecision(newDecision(r, "iasi", "v1", call.ReasonLinkBroken, call.OutcomeUnknown))
	d := newDecision(r, "cluj", "v1", call.ReasonCentreOut, call.OutcomeNotRun)
	storeA.RecordDecision(d)
	d.At, d.Centre, d.Reason, d.Outcome = d.At+3, "iasi", call.ReasonRetry, call.OutcomeAnswered
	storeB.RecordDecision(d)
	storeB.RecordDecision(newDecision(r, "cluj", "v9", call.ReasonHedge, call.OutcomeAnswered))
	e := report.Event{At: startTime + 2*clock.Second, Move: "out-cluj", Kind: report.EventDone}
	storeA.RecordEvent(e)
	e.At += clock.Second
	storeB.RecordEvent(e)
	storeB.RecordEvent(report.Event{At: startTime + clock.Minute, Move: "booking-v2", Kind: report.EventTakenBack, Detail: testConfig().Exceptions[1].Move.Evidence})
	return []report.Source{
		&fakeSource{name: "10.0.0.3:7400", err: errors.New("no answer within 1 s")},
		&fakeSource{name: "10.0.0.2:7400", store: storeB},
		&fakeSource{name: "10.0.0.1:7400", store: storeA},
	}, d.ID.String()
}

// Guards against changed sentences, missing sections and a text that depends on
// the order of the sources.
func TestExplain(t *testing.T) {
	sources, id := testSources()
	cases := map[string]report.Query{
		"span":    {From: startTime, To: startTime + clock.Hour},
		"centre":  {From: startTime, To: startTime + clock.Hour, Centre: "cluj"},
		"move":    {From: startTime, To: startTime + clock.Hour, Move: "booking-v2"},
		"request": {Request: id},
		"unknown": {Request: "00000000000000000000000000000000"},
		"nothing": {From: startTime - 9*clock.Hour, To: startTime - 8*clock.Hour, Service: "media"},
	}
	for name, q := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r, err := report.Explain(context.Background(), testConfig(), q, sources)
			g.Expect(err).NotTo(HaveOccurred())
			goldie.New(t).Assert(t, name, []byte(r.Text()))

			var decoded report.Report
			s, err := r.TOML()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(toml.Unmarshal([]byte(s), &decoded)).To(Succeed())
			g.Expect(decoded).To(Equal(r))
			s, err = r.JSON()
			g.Expect(err).NotTo(HaveOccurred())
			decoded = report.Report{}
			g.Expect(json.Unmarshal([]byte(s), &decoded)).To(Succeed())
			g.Expect(decoded).To(Equal(r))
		})
	}
}

// Guards against an invalid query that yields an empty report instead of an
// error.
func TestInvalidQuery(t *testing.T) {
	for name, q := range map[string]report.Query{
		"span ends before its start": {From: 2, To: 1},
		"malformed request id":       {Request: "xyz"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := report.Explain(context.Background(), testConfig(), q, nil)
			NewWithT(t).Expect(err).To(MatchError(report.ErrInvalidQuery))
		})
	}
}

// Guards against a reason for which the report has no clause.
func TestEveryReasonHasClause(t *testing.T) {
	for r := call.ReasonNone; r <= call.ReasonConnections; r++ {
		s := report.NewStore(0, report.Options{})
		s.RecordDecision(report.Decision{At: 1, Service: "s", Reason: r, Outcome: call.OutcomeAnswered})
		rep, err := report.Explain(context.Background(), testConfig(), report.Query{To: 2}, []report.Source{&fakeSource{name: "d", store: s}})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(rep.Text()).NotTo(ContainSubstring("of the reason"), r.String())
	}
}

// Guards against unbounded memory use and against decisions that are
// neither counted nor reported as uncounted.
func TestStoreIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		maxCounters := rapid.IntRange(1, 20).Draw(t, "maxCounters")
		s := report.NewStore(0, report.Options{MaxCounters: maxCounters, MaxDecisions: 4, Retention: clock.Hour * 1000})
		n := rapid.IntRange(0, 200).Draw(t, "decisions")
		for range n {
			s.RecordDecision(report.Decision{At: 1, Service: rapid.StringMatching("[a-f]{1,2}").Draw(t, "service")})
		}
		a := s.Answer(&report.Query{To: clock.Hour})
		total := a.Uncounted
		for _, c := range a.Counters {
			total += c.Count
		}
		g.Expect(len(a.Counters)).To(BeNumerically("<=", maxCounters))
		g.Expect(total).To(BeEquivalentTo(n))
	})
}
