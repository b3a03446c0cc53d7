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

// maxProblems is the length beyond which a list of problems is truncated.
const maxProblems = 10

// Runs returns the requests that each node's upstream received.
func (d *Deployment) Runs(ctx context.Context) (map[*Node][]upstream.Run, error) {
	out := make(map[*Node][]upstream.Run)
	for _, n := range d.Nodes {
		var runs []upstream.Run
		if err := getJSON(ctx, "http://"+n.UpstreamAddr+"/runs", "", &runs); err != nil {
			return nil, errors.Wrap(err, n.Name)
		}
		out[n] = runs
	}
	return out, nil
}

// GetAdmin fetches a path of a node's administration API and decodes the JSON
// response into v.
func (d *Deployment) GetAdmin(ctx context.Context, n *Node, path string, v any) error {
	return getJSON(ctx, "http://"+n.AdminAddr+path, d.AdminToken, v)
}

func getJSON(ctx context.Context, url, token string, v any) error {
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

// SetFaults replaces the faults of the fake service at addr. A status other than
// 200 is an error, because the fault is then not in force.
func SetFaults(ctx context.Context, addr string, faults any) error {
	b, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr+"/faults", bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("set faults of %s: status %d", addr, resp.StatusCode)
	}
	return nil
}

// CheckRuns compares the responses that callers received with the requests that
// the upstreams ran and returns the contradictions.
func CheckRuns(results []RequestResult, runs map[*Node][]upstream.Run) []string {
	runCount := make(map[string]int)
	for _, rs := range runs {
		for _, r := range rs {
			runCount[r.Path]++
		}
	}
	var problems []string
	for _, result := range results {
		if problem := result.checkRunCount(runCount[result.Path]); problem != "" {
			problems = append(problems, problem)
		}
	}
	return FirstProblems(problems)
}

// checkRunCount returns a description of the contradiction between the result and
// the number of runs, or an empty string. Runs are matched by path, which is
// unique per request, as a caller without a response has no request ID.
func (r *RequestResult) checkRunCount(n int) string {
	switch {
	case r.Outcome == call.OutcomeNotRun.String() && n > 0:
		return fmt.Sprintf("%s %s was reported as not run but ran %d times", r.Kind, r.Path, n)
	case !r.Repeatable && n > 1:
		return fmt.Sprintf("%s %s ran %d times", r.Kind, r.Path, n)
	case r.Status == http.StatusOK && n == 0:
		return fmt.Sprintf("%s %s was answered but never ran", r.Kind, r.Path)
	default:
		return ""
	}
}

// Violations returns the log lines of invariant violations and panics of all
// daemons.
func (d *Deployment) Violations() []string {
	var out []string
	for _, n := range d.Nodes {
		f, err := os.Open(d.path(n.Name + "-daemon.log"))
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

// FirstProblems returns the first ten problems and the number of the others. It
// may overwrite problems.
func FirstProblems(problems []string) []string {
	if len(problems) > maxProblems {
		return append(problems[:maxProblems], fmt.Sprintf("and %d more", len(problems)-maxProblems))
	}
	return problems
}
