package procs_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/procs"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/server"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// daemonPair is a daemon whose entry receives the calls and a daemon whose guard
// protects the called service.
type daemonPair struct {
	*WithT
	harness      *procs.Harness
	entry, guard *procs.Daemon
}

func startPair(t *testing.T, extraSettings string, serviceMS float64) *daemonPair {
	p := &daemonPair{WithT: NewWithT(t)}
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "../../..", "../../../cmd/stand-log", "../../../cmd/stand-upstream").CombinedOutput()
	p.Expect(err).NotTo(HaveOccurred(), string(out))
	p.harness, err = procs.NewHarness(bin, t.TempDir())
	p.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.harness.Close)
	p.entry, err = p.harness.StartDaemon(procs.DaemonSpec{Service: "caller", Slots: 8, ExtraSettings: extraSettings})
	p.Expect(err).NotTo(HaveOccurred())
	p.guard, err = p.harness.StartDaemon(procs.DaemonSpec{Service: "svc", Slots: 8, ServiceTimeMS: serviceMS, ExtraSettings: extraSettings})
	p.Expect(err).NotTo(HaveOccurred())
	p.Expect(p.entry.WaitForRoute("svc")).To(Succeed())
	return p
}

func (p *daemonPair) post(body io.Reader, headers ...string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.entry.EntryAddr+"/book", body)
	p.Expect(err).NotTo(HaveOccurred())
	r.Host = "svc"
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	t := &http.Transport{}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return resp, err
}

// bookings returns the requests to /book that the guard's upstream received.
func (p *daemonPair) bookings() []server.Run {
	resp, err := http.Get("http://" + p.guard.UpstreamAddr + "/runs")
	p.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var all, out []server.Run
	p.Expect(json.NewDecoder(resp.Body).Decode(&all)).To(Succeed())
	for _, r := range all {
		if r.Path == "/book" {
			out = append(out, r)
		}
	}
	return out
}

func (p *daemonPair) terminate(d *procs.Daemon) chan error {
	p.Expect(d.Cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	done := make(chan error, 1)
	go func() { done <- d.Wait() }()
	return done
}

// Guards against a booking that a guard dispatches after its deadline because the
// guard's process was paused in between.
func TestGuardProcessPaused(t *testing.T) {
	p := startPair(t, "", 1)
	p.Expect(p.guard.Pause()).To(Succeed())
	resp, err := p.post(strings.NewReader("x"), header.TimeoutMs, "200")
	p.Expect(err).NotTo(HaveOccurred())
	p.Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
	p.Expect(resp.Header.Get(header.Outcome)).To(Equal("unknown"))
	p.Expect(p.guard.Cmd.Process.Signal(syscall.SIGCONT)).To(Succeed())
	time.Sleep(300 * time.Millisecond)
	p.Expect(p.bookings()).To(BeEmpty())
	p.Expect(p.entry.WaitForRoute("svc")).To(Succeed())
}

// slowReader yields zero bytes in chunks of up to 32 KiB and sleeps before each.
type slowReader struct {
	remaining int
	delay     time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	time.Sleep(s.delay)
	n := min(len(p), s.remaining, 32<<10)
	s.remaining -= n
	return n, nil
}

// Guards against uploads interrupted by a planned stop of either daemon, and
// against a stop timeout that interrupts calls without logging a violation.
func TestPlannedStop(t *testing.T) {
	const size, pieces = 1 << 20, 32
	tests := map[string]struct {
		stop               string
		delay              time.Duration
		guard, interrupted bool
	}{
		"entry's daemon":              {"notice_ms = 100\ntimeout_ms = 20000", 40 * time.Millisecond, false, false},
		"guard's daemon":              {"notice_ms = 100\ntimeout_ms = 20000", 40 * time.Millisecond, true, false},
		"timeout of the entry's stop": {"notice_ms = 0\ntimeout_ms = 1000", 200 * time.Millisecond, false, true},
		"timeout of the guard's stop": {"notice_ms = 0\ntimeout_ms = 1000", 200 * time.Millisecond, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPair(t, "[stop]\n"+tt.stop, 1)
			type reply struct {
				resp *http.Response
				err  error
			}
			done := make(chan reply, 1)
			go func() {
				resp, err := p.post(&slowReader{remaining: size, delay: tt.delay}, header.TimeoutMs, "30000")
				done <- reply{resp, err}
			}()
			p.Eventually(func() int { return len(p.bookings()) }, "5s").Should(Equal(1))
			d := p.entry
			if tt.guard {
				d = p.guard
			}
			exited := p.terminate(d)
			r := <-done
			if tt.interrupted {
				p.Expect(r.err != nil || r.resp.StatusCode == http.StatusBadGateway).To(BeTrue())
				p.Eventually(exited, "5s").Should(Receive(HaveOccurred()))
				p.Expect(d.Output()).To(ContainSubstring("invariant=graceful_stop"))
				return
			}
			p.Expect(r.err).NotTo(HaveOccurred())
			p.Expect(r.resp.StatusCode).To(Equal(http.StatusOK))
			p.Eventually(exited, "10s").Should(Receive(Not(HaveOccurred())))
			p.Expect(d.Output()).To(ContainSubstring("event=stop_done"), "the last log line must be written before the exit")
			p.Expect(p.bookings()).To(HaveLen(1))
			p.Expect(p.bookings()[0].BodyBytes).To(BeNumerically("==", size))
		})
	}
}

// Guards against callers that occupy connections with slow headers or send headers
// of unlimited size, and against malformed requests that are forwarded.
func TestCallerLimits(t *testing.T) {
	p := startPair(t, "[limits]\nheader_timeout_ms = 300\nheader_bytes = 4096", 1)
	tests := map[string]struct {
		request string
		want    string
	}{
		"slow header":     {"GET / HTTP/1.1\r\nHost: svc\r\n", ""},
		"oversize header": {"GET / HTTP/1.1\r\nHost: svc\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "HTTP/1.1 431"},
		"malformed":       {"GET\r\n\r\n", "HTTP/1.1 400"},
		"two lengths":     {"POST /book HTTP/1.1\r\nHost: svc\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 400"},
		"upgrade":         {"GET / HTTP/1.1\r\nHost: svc\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", "HTTP/1.1 400"},
		"bad timeout":     {"GET / HTTP/1.1\r\nHost: svc\r\nCranberrytack-Timeout-Ms: soon\r\n\r\n", "HTTP/1.1 400"},
		"too deep":        {"GET / HTTP/1.1\r\nHost: svc\r\nCranberrytack-Depth: 21\r\n\r\n", "HTTP/1.1 400"},
		"no such service": {"GET / HTTP/1.1\r\nHost: other\r\n\r\n", "HTTP/1.1 404"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(exchangeRaw(g, p.entry.EntryAddr, tt.request)).To(HavePrefix(tt.want))
		})
	}
	p.Expect(p.bookings()).To(BeEmpty())
	p.Expect(p.entry.WaitForRoute("svc")).To(Succeed())
}

// exchangeRaw sends a raw request and returns the first 16 bytes of the response,
// or all of it if the server closes the connection before. The test fails if
// neither happens within 2 s.
func exchangeRaw(g *WithT, addr, request string) string {
	c, err := net.Dial("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, request)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	buf := make([]byte, 16)
	n, err := io.ReadFull(c, buf)
	g.Expect(os.IsTimeout(err)).To(BeFalse())
	return string(buf[:n])
}
