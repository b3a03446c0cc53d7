package logs_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/logs"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against values whose quotes, spaces, line feeds or braces make the
// key=value pairs of a line ambiguous.
func TestLines(t *testing.T) {
	tests := map[string]struct {
		log  func(*zerolog.Event)
		want string
	}{
		"plain":     {func(e *zerolog.Event) { e.Str("a", "b").Int("n", 3).Bool("ok", true) }, "event=x a=b n=3 ok=true"},
		"quoted":    {func(e *zerolog.Event) { e.Str("a", "b c").Str("e", "").Str("q", `say "hi"`) }, `event=x a="b c" e="" q="say \"hi\""`},
		"line feed": {func(e *zerolog.Event) { e.Str("a", "b\nlevel=error") }, `event=x a="b\nlevel=error"`},
		"unicode":   {func(e *zerolog.Event) { e.Str("a", "ș") }, `event=x a="ș"`},
		"braces":    {func(e *zerolog.Event) { e.Str("a", `},{"b":1`) }, `event=x a="},{\"b\":1"`},
		"list":      {func(e *zerolog.Event) { e.Strs("a", []string{"b", "c"}) }, `event=x a="[\"b\",\"c\"]"`},
		"error":     {func(e *zerolog.Event) { e.Err(errors.New("dial failed")) }, `event=x error="dial failed"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var out bytes.Buffer
			l := logs.New(&out, zerolog.InfoLevel)
			e := l.Info()
			tt.log(e)
			e.Msg("x")
			g.Expect(out.String()).To(MatchRegexp(`^time=\S+ level=info `))
			g.Expect(strings.SplitN(out.String(), " ", 3)[2]).To(Equal(tt.want + "\n"))
		})
	}
}

// Guards against lines that are lost or reordered when the logger is closed, and
// against an error that is still pending when its logging call returns.
func TestAsyncLosesNoLines(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l, c := logs.NewAsync(&out, zerolog.InfoLevel)
	const writers, lines = 8, 2000
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range lines {
				l.Info().Int("writer", w).Int("line", i).Msg("x")
			}
		})
	}
	wg.Wait()
	l.Error().Msg("last_error")
	g.Expect(out.String()).To(ContainSubstring("event=last_error"))
	l.Info().Msg("pending")
	g.Expect(c.Close()).To(Succeed())
	g.Expect(c.Close()).To(Succeed())
	l.Info().Msg("after")
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(got).To(HaveLen(writers*lines + 3))
	g.Expect(got[len(got)-2:]).To(HaveExactElements(ContainSubstring("event=pending"), ContainSubstring("event=after")))
	next := make([]int, writers)
	for _, line := range got {
		if _, fields, ok := strings.Cut(line, "event=x "); ok {
			var w, i int
			_, err := fmt.Sscanf(fields, "writer=%d line=%d", &w, &i)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(i).To(Equal(next[w]))
			next[w]++
		}
	}
}

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.out.Write(p)
}

// Guards against a logging call that blocks while the output is blocked, and
// against warnings that are dropped before lines of level info.
func TestStuckOutput(t *testing.T) {
	g := NewWithT(t)
	blocked := &blockedWriter{release: make(chan struct{})}
	l, c := logs.NewAsync(blocked, zerolog.InfoLevel)
	text := strings.Repeat("x", 1000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10_000 {
			l.Info().Str("text", text).Msg("ordinary")
		}
		l.Warn().Msg("failure")
	}()
	g.Eventually(done, "5s").Should(BeClosed())
	close(blocked.release)
	g.Expect(c.Close()).To(Succeed())
	got := blocked.out.String()
	g.Expect(got).To(ContainSubstring("event=failure"))
	g.Expect(got).To(ContainSubstring("event=log_lines_dropped"))
	g.Expect(strings.Count(got, "event=ordinary")).To(BeNumerically("<", 10_000))
}

// Guards against lines of level info that exceed the rate limit, and against
// warnings that are subject to it.
func TestRate(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	const perSecond = 100
	l, c := logs.NewAsync(&out, zerolog.InfoLevel, logs.WithRateLimit(perSecond))
	for range 10 * perSecond {
		l.Info().Msg("ordinary")
		l.Warn().Msg("failure")
	}
	g.Expect(c.Close()).To(Succeed())
	g.Expect(strings.Count(out.String(), "event=ordinary")).To(BeNumerically("<=", 2*perSecond))
	g.Expect(strings.Count(out.String(), "event=failure")).To(Equal(10 * perSecond))
}

// BenchmarkAsync measures the cost of a line that is written and of one that
// exceeds the rate limit.
func BenchmarkAsync(b *testing.B) {
	tests := map[string][]logs.Option{"written": nil, "over the limit": {logs.WithRateLimit(1)}}
	for name, opts := range tests {
		b.Run(name, func(b *testing.B) {
			l, c := logs.NewAsync(io.Discard, zerolog.InfoLevel, opts...)
			b.ReportAllocs()
			for b.Loop() {
				l.Info().Str("request", "00112233445566778899aabbccddeeff").Int("status", 200).Msg("call_routed")
			}
			_ = c.Close()
		})
	}
}
