package deploy

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	upstream "gitlab.com/cranberrytack/cranberrytack/internal/fakes/server"
)

// mostProblems bounds a list of problems.
const mostProblems = 10

// Runs returns what each upstream ran.
func (w *Deployment) Runs(ctx context.Context) (map[*Node][]upstream.Run, error) {
	out := make(map[*Node][]upstream.Run)
	for _, n := range w.Nodes {
		var runs []upstream.Run
		if err := read(ctx, "http://"+n.UpstreamAddr+"/runs", "", &runs); err != nil {
			return nil, errors.Wrap(err, n.Name)
		}
		out[n] = runs
	}
	return out, nil
}

// GetAdmin reads a value of a daemon's administration API.
func (w *Deployment) GetAdmin(ctx context.Context, n *Node, path string, v any) error {
	return read(ctx, "http://"+n.AdminAddr+path, w.AdminToken, v)
}

func read(ctx context.Context, url, token string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(v)
}

// SetFaults switches the faults of an upstream or of the log at addr.
func SetFaults(ctx context.Context, addr string, faults any) error {
	b, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/faults", bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// CheckRuns compares what callers were told with what the upstreams ran.
func CheckRuns(told []RequestResult, runs map[*Node][]upstream.Run) []string {
	ran := make(map[string]int)
	for _, rs := range runs {
		for _, r := range rs {
			ran[r.Path]++
		}
	}
	var problems []string
	for _, c := range told {
		if p := c.compare(ran[c.Path]); p != "" {
			problems = append(problems, p)
		}
	}
	return FirstProblems(problems)
}

// compare says what is wrong with a number of runs. Paths are unique, so runs
// are found even if the caller never learned the request's id.
func (s *RequestResult) compare(n int) string {
	switch {
	case s.Outcome == call.OutcomeNotRun.String() && n > 0:
		return fmt.Sprintf("%s %s was reported as not run and ran %d times", s.Kind, s.Path, n)
	case !s.Repeatable && n > 1:
		return fmt.Sprintf("%s %s ran %d times", s.Kind, s.Path, n)
	case s.Status == http.StatusOK && n == 0:
		return fmt.Sprintf("%s %s was answered and never ran", s.Kind, s.Path)
	default:
		return ""
	}
}

// Violations returns the invariant violations in the daemons' logs.
func (w *Deployment) Violations() []string {
	var out []string
	for _, n := range w.Nodes {
		f, err := os.Open(w.path(n.Name + "-daemon.log"))
		if err != nil {
			out = append(out, err.Error())
			continue
		}
		for sc := bufio.NewScanner(f); sc.Scan(); {
			if strings.Contains(sc.Text(), "event=invariant_violated") || strings.Contains(sc.Text(), "panic") {
				out = append(out, n.Name+": "+sc.Text())
			}
		}
		_ = f.Close()
	}
	return FirstProblems(out)
}

// FirstProblems returns the first of a long list of problems.
func FirstProblems(problems []string) []string {
	if len(problems) > mostProblems {
		return append(problems[:mostProblems], fmt.Sprintf("and %d more", len(problems)-mostProblems))
	}
	return problems
}
