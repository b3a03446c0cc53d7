package entry_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/bench/inproc"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/crash"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
)

// workspaceProtocol accepts all requests for a workspace.
type workspaceProtocol struct {
	entry.Protocol
	workspace string
}

func (p *workspaceProtocol) ParseRequest(_ *http.Request, r *call.Request, now clock.Milli) call.Reason {
	r.Service, r.Workspace, r.Deadline = inproc.Service, p.workspace, now+clock.Second
	return call.ReasonNone
}

func (*workspaceProtocol) SetResponseHeaders(http.Header, *entry.CallSummary) {}

// fingerprintRecorder is a quarantine that admits all requests.
type fingerprintRecorder struct{ admitted []crash.Fingerprint }

func (f *fingerprintRecorder) Admit(p crash.Fingerprint) clock.Milli {
	f.admitted = append(f.admitted, p)
	return 0
}

func (f *fingerprintRecorder) Strikes(crash.Fingerprint) int { return 0 }

// Guards against requests of one workspace that are held back because those of another crash
// upstreams.
func TestFingerprintHasWorkspace(t *testing.T) {
	g := NewWithT(t)
	recorder := &fingerprintRecorder{}
	protocol := &workspaceProtocol{}
	harness := inproc.New(t, entry.WithProtocol(protocol), entry.WithQuarantine(recorder))
	harness.AddNode(inproc.NodeSpec{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	for _, workspace := range []string{"ws-a", "ws-b", "ws-a"} {
		protocol.workspace = workspace
		g.Expect(harness.Do(harness.Request(http.MethodGet, "/", nil)).Status).To(Equal(http.StatusOK))
	}
	g.Expect(recorder.admitted).To(HaveLen(3))
	g.Expect(recorder.admitted[1]).NotTo(Equal(recorder.admitted[0]))
	g.Expect(recorder.admitted[2]).To(Equal(recorder.admitted[0]))
}
