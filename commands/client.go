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

// clientTimeout is above the time that a daemon waits for a change.
const (
	clientTimeout = 10 * time.Second
	maxAnswer     = 8 << 20
)

// APIOptions holds the options of all commands that talk to a daemon.
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

// token reads the token from its file or the environment. It is no option, as
// the arguments of a process are visible to all users.
func (a *APIOptions) token() (string, error) {
	if a.TokenFile == "" {
		return os.Getenv("CRANBERRYTACK_TOKEN"), nil
	}
	b, err := os.ReadFile(a.TokenFile)
	return strings.TrimSpace(string(b)), errors.Wrap(err, "read token")
}

func (a *APIOptions) send(method, path string, q url.Values, header http.Header, body []byte) (int, []byte, error) {
	token, err := a.token()
	if err != nil {
		return 0, nil, err
	}
	u := strings.TrimSuffix(a.URL, "/") + path
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	req, err := http.NewRequest(method, u, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "request")
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Authorization", "Bearer "+token)
	client := http.Client{Timeout: clientTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "daemon not reached")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp.StatusCode, answer, errors.Wrap(err, "read answer")
}

// get reads a value and prints it as JSON if that is wanted. It reports
// whether it did.
func (a *APIOptions) get(path string, q url.Values, v any) (printed bool, err error) {
	status, answer, err := a.send(http.MethodGet, path, q, nil, nil)
	if err != nil {
		return false, err
	}
	if status != http.StatusOK {
		return false, a.failure(status, answer)
	}
	if a.OutputFormat == "json" {
		_, err = fmt.Fprintln(stdout, strings.TrimSpace(string(answer)))
		return true, err
	}
	return false, errors.Wrap(json.Unmarshal(answer, v), "decode answer")
}

// change publishes a change and prints what became of it.
func (a *APIOptions) change(c ChangeOptions, method, path string, body []byte) error {
	key := c.IdempotencyKey
	if key == "" {
		key = rand.Text()
	}
	q := url.Values{}
	if c.BaseRevision >= 0 {
		q.Set("base", fmt.Sprint(c.BaseRevision))
	}
	header := http.Header{server.IdempotencyKey: {key}}
	status, answer, err := a.send(method, path, q, header, body)
	if err != nil {
		// The daemon may have appended the change before the connection broke.
		return &ExitError{Code: ExitOutcomeUnknown, Err: errors.Wrapf(err, "not known yet, repeat with --key %s", key)}
	}
	switch status {
	case http.StatusOK, http.StatusAccepted:
		return a.printChange(answer, status == http.StatusAccepted, key)
	default:
		return a.failure(status, answer)
	}
}

func (a *APIOptions) printChange(answer []byte, notKnown bool, key string) error {
	var v server.Change
	if err := json.Unmarshal(answer, &v); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	if a.OutputFormat == "json" {
		say("%s\n", strings.TrimSpace(string(answer)))
	} else {
		t := newTable("ID", "STATUS", "REVISION", "IN FORCE", "DETAIL")
		inForce := "-"
		if v.InForce != nil {
			inForce = fmt.Sprintf("%d of %d", v.InForce.InForce, v.InForce.Live)
		}
		t.row(v.ID, v.Status, fmt.Sprint(v.Revision), inForce, v.Detail)
		t.flush()
	}
	if notKnown {
		hint := ""
		if key != "" {
			hint = ", or repeat with --key " + key
		}
		return &ExitError{Code: ExitOutcomeUnknown, Err: errors.Errorf("not known yet, ask with: status --change %s%s", v.ID, hint)}
	}
	return nil
}

// failure turns an error answer into an error, printed as JSON if wanted.
func (a *APIOptions) failure(status int, answer []byte) error {
	if status == http.StatusUnauthorized {
		return errors.New("the daemon does not accept the token")
	}
	if a.OutputFormat == "json" {
		say("%s\n", strings.TrimSpace(string(answer)))
	}
	var v server.ErrorReply
	if json.Unmarshal(answer, &v) != nil || v.Error.Code == "" {
		return errors.Errorf("the daemon answered with status %d", status)
	}
	if v.Error.Winner != "" {
		return errors.Errorf("%s: %s (ask about it with: status --change %s)", v.Error.Code, v.Error.Message, v.Error.Winner)
	}
	return errors.Errorf("%s: %s", v.Error.Code, v.Error.Message)
}

// say prints to standard output; a closed one can't be reported anywhere.
func say(format string, args ...any) {
	_, _ = fmt.Fprintf(stdout, format, args...)
}

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

// flush writes the table; a closed standard output can't be reported.
func (t *tableWriter) flush() { _ = t.w.Flush() }
