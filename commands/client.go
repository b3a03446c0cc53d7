package commands

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
)

const (
	// clientTimeout exceeds the time for which a daemon waits for the outcome of
	// a change.
	clientTimeout    = 10 * time.Second
	maxResponseBytes = 8 << 20
)

// APIOptions holds the options of all commands that send requests to a daemon.
type APIOptions struct {
	URL          string `long:"api" env:"CRANBERRYTACK_API" default:"http://127.0.0.1:7401" description:"address of any daemon's administration API"`
	TokenFile    string `long:"token-file" env:"CRANBERRYTACK_TOKEN_FILE" description:"file with the token"`
	OutputFormat string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
}

// ChangeOptions holds the options of all commands that publish a change.
type ChangeOptions struct {
	IdempotencyKey string `long:"key" description:"idempotency key; a repetition with the same key is the same change"`
	BaseRevision   int64  `long:"base" default:"-1" description:"revision that the change was made against; the newest by default"`
}

// readToken reads the token from its file or the environment. The token is not an
// option, as the arguments of a process are visible to all users.
func (a *APIOptions) readToken() (string, error) {
	if a.TokenFile == "" {
		return os.Getenv("CRANBERRYTACK_TOKEN"), nil
	}
	b, err := os.ReadFile(a.TokenFile)
	return strings.TrimSpace(string(b)), errors.Wrap(err, "read token file")
}

// send sends a request to the daemon and returns the status and body of the
// response.
func (a *APIOptions) send(method, path string, q url.Values, header http.Header, body []byte) (int, []byte, error) {
	token, err := a.readToken()
	if err != nil {
		return 0, nil, err
	}
	u := strings.TrimSuffix(a.URL, "/") + path
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	req, err := http.NewRequest(method, u, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "create request")
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Authorization", "Bearer "+token)
	client := http.Client{Timeout: clientTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "send request to daemon")
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, respBody, errors.Wrap(err, "read response")
}

// getOrPrintJSON gets a resource. With --output json it prints the response and
// returns true; otherwise it decodes the response into v.
func (a *APIOptions) getOrPrintJSON(path string, q url.Values, v any) (printed bool, err error) {
	status, respBody, err := a.send(http.MethodGet, path, q, nil, nil)
	if err != nil {
		return false, err
	}
	if status != http.StatusOK {
		return false, a.responseError(status, respBody)
	}
	if a.OutputFormat == "json" {
		_, err = fmt.Fprintln(stdout, strings.TrimSpace(string(respBody)))
		return true, err
	}
	return false, errors.Wrap(json.Unmarshal(respBody, v), "decode response")
}

// publishChange publishes a change and prints its outcome.
func (a *APIOptions) publishChange(c ChangeOptions, method, path string, body []byte) error {
	key := c.IdempotencyKey
	if key == "" {
		key = rand.Text()
	}
	q := url.Values{}
	if c.BaseRevision >= 0 {
		q.Set("base", fmt.Sprint(c.BaseRevision))
	}
	header := http.Header{server.IdempotencyKey: {key}}
	status, respBody, err := a.send(method, path, q, header, body)
	if err != nil {
		// The daemon may have appended the change before the connection broke.
		return &ExitError{Code: ExitOutcomeUnknown, Err: errors.Wrapf(err, "not known yet, repeat with --key %s", key)}
	}
	switch status {
	case http.StatusOK, http.StatusAccepted:
		return a.printChange(respBody, status == http.StatusAccepted, key)
	default:
		return a.responseError(status, respBody)
	}
}

// printChange prints the response to a change. If the outcome is unknown, it
// returns an error that says how to query it.
func (a *APIOptions) printChange(respBody []byte, outcomeUnknown bool, key string) error {
	var v server.Change
	if err := json.Unmarshal(respBody, &v); err != nil {
		return errors.Wrap(err, "decode response")
	}
	if a.OutputFormat == "json" {
		printOutput("%s\n", strings.TrimSpace(string(respBody)))
	} else {
		t := newTable("ID", "STATUS", "REVISION", "IN FORCE", "DETAIL")
		inForce := "-"
		if v.InForce != nil {
			inForce = fmt.Sprintf("%d of %d", v.InForce.InForce, v.InForce.Live)
		}
		t.row(v.ID, v.Status, fmt.Sprint(v.Revision), inForce, v.Detail)
		t.flush()
	}
	if outcomeUnknown {
		hint := ""
		if key != "" {
			hint = ", or repeat with --key " + key
		}
		return &ExitError{Code: ExitOutcomeUnknown, Err: errors.Errorf("not known yet, ask with: status --change %s%s", v.ID, hint)}
	}
	return nil
}

// responseError converts the response to a failed request to an error. With
// --output json it also prints the response.
func (a *APIOptions) responseError(status int, respBody []byte) error {
	if status == http.StatusUnauthorized {
		return errors.New("the daemon does not accept the token")
	}
	if a.OutputFormat == "json" {
		printOutput("%s\n", strings.TrimSpace(string(respBody)))
	}
	var v server.ErrorReply
	if json.Unmarshal(respBody, &v) != nil || v.Error.Code == "" {
		return errors.Errorf("the daemon answered with status %d", status)
	}
	if v.Error.Winner != "" {
		return errors.Errorf("%s: %s (ask about it with: status --change %s)", v.Error.Code, v.Error.Message, v.Error.Winner)
	}
	return errors.Errorf("%s: %s", v.Error.Code, v.Error.Message)
}

// printOutput prints to standard output. It ignores write errors: with standard
// output closed there is nowhere to report them.
func printOutput(format string, args ...any) {
	_, _ = fmt.Fprintf(stdout, format, args...)
}

// tableWriter prints rows in aligned columns to standard output.
type tableWriter struct {
	w *tabwriter.Writer
}

func newTable(columns ...string) *tableWriter {
	t := &tableWriter{w: tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)}
	t.row(columns...)
	return t
}

func (t *tableWriter) row(cells ...string) {
	_, _ = fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

// flush prints the table. It ignores write errors, as printOutput does.
func (t *tableWriter) flush() { _ = t.w.Flush() }
