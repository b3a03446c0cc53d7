package applog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Timeouts of the client. An accepted revision must be in force everywhere within
// 7 s, and the timeouts leave time for a second attempt.
const (
	DefaultAppendTimeout = 2 * time.Second
	DefaultReadTimeout   = 2 * time.Second
	dialTimeout          = time.Second
	// maxReplyBytes limits the memory that the reply of a faulty service takes.
	maxReplyBytes = 16 << 20
	maxErrorBytes = 4 << 10
)

// GoneError reports a read from an offset that is no longer retained. FirstOffset
// is the oldest one still retained.
type GoneError struct {
	FromOffset, FirstOffset int64
}

func (e *GoneError) Error() string {
	return fmt.Sprintf("offset %d is no longer retained, the log begins at %d", e.FromOffset, e.FirstOffset)
}

// RateLimitError reports an append that the service rejected because its rate limit
// was exceeded. The append had no effect.
type RateLimitError struct {
	RetryAfter time.Duration
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("append rate limit of the log service exceeded, retry after %s", e.RetryAfter)
}

// Unwrap returns ErrUnavailable.
func (e *RateLimitError) Unwrap() error { return ErrUnavailable }

// Client accesses the log service over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL       string
	client        *http.Client
	appendTimeout time.Duration
	readTimeout   time.Duration
}

// Option configures a Client in NewClient.
type Option func(*Client)

// WithTimeouts sets the timeouts of an append and of a read.
func WithTimeouts(appendTimeout, readTimeout time.Duration) Option {
	return func(c *Client) { c.appendTimeout, c.readTimeout = appendTimeout, readTimeout }
}

// NewClient returns a client of the service at a base URL. It does not connect.
func NewClient(baseURL string, opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &Client{
		baseURL:       strings.TrimSuffix(baseURL, "/"),
		client:        &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
		appendTimeout: DefaultAppendTimeout,
		readTimeout:   DefaultReadTimeout,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close closes idle connections. Requests in progress are not affected.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Ack is the service's reply to an append. A changed Generation means that the log
// was recreated.
type Ack struct {
	Offset     int64  `json:"offset"`
	Generation string `json:"generation"`
}

// AckAppender is implemented by logs that report their generation on append.
type AckAppender interface {
	AppendAck(ctx context.Context, r Record) (Ack, error)
}

// GoneReply is the service's reply to a read of records that are no longer
// retained.
type GoneReply struct {
	FirstOffset int64 `json:"first"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, r Record) (int64, error) {
	ack, err := c.AppendAck(ctx, r)
	return ack.Offset, err
}

// AppendAck adds a record and returns the service's reply. Its errors are those of
// Append.
func (c *Client) AppendAck(ctx context.Context, r Record) (Ack, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Ack{}, errors.Wrapf(ErrRefused, "encode record %s: %v", r.ID, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.appendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/records", bytes.NewReader(body))
	if err != nil {
		return Ack{}, errors.Wrapf(ErrRefused, "create request: %v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	// With GetBody, the transport would repeat the request by itself when an idle
	// connection breaks. Only the caller may decide to repeat an append.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err != nil {
		if isDialError(err) {
			return Ack{}, errors.Wrapf(ErrUnavailable, "append %s: %v", r.ID, err)
		}
		return Ack{}, errors.Wrapf(ErrOutcomeUnknown, "append %s: %v", r.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Ack{}, appendError(resp, r.ID)
	}
	var ack Ack
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&ack); err != nil {
		return Ack{}, errors.Wrapf(ErrOutcomeUnknown, "append %s: decode reply: %v", r.ID, err)
	}
	return ack, nil
}

// isDialError reports whether no connection was established, in which case the
// service has not received the request.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func appendError(resp *http.Response, id string) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	detail := strings.TrimSpace(string(text))
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
		if err != nil {
			s = 1
		}
		return &RateLimitError{RetryAfter: time.Duration(s) * time.Second}
	case resp.StatusCode == http.StatusServiceUnavailable:
		return errors.Wrapf(ErrUnavailable, "append %s: status %d %s", id, resp.StatusCode, detail)
	case resp.StatusCode >= http.StatusInternalServerError:
		return errors.Wrapf(ErrOutcomeUnknown, "append %s: status %d %s", id, resp.StatusCode, detail)
	default:
		return errors.Wrapf(ErrRefused, "append %s: status %d %s", id, resp.StatusCode, detail)
	}
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, from int64, limit int) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.readTimeout)
	defer cancel()
	q := url.Values{"from": {strconv.FormatInt(from, 10)}, "limit": {strconv.Itoa(limit)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/v1/records?"+q.Encode(), nil)
	if err != nil {
		return Batch{}, errors.Wrapf(ErrRefused, "create request: %v", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "read from %d: %v", from, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body := io.LimitReader(resp.Body, maxReplyBytes)
	switch {
	case resp.StatusCode == http.StatusGone:
		var gone GoneReply
		if err := json.NewDecoder(body).Decode(&gone); err != nil {
			return Batch{}, errors.Wrapf(ErrUnavailable, "read from %d: decode reply: %v", from, err)
		}
		return Batch{}, &GoneError{FromOffset: from, FirstOffset: gone.FirstOffset}
	case resp.StatusCode >= http.StatusInternalServerError:
		return Batch{}, errors.Wrapf(ErrUnavailable, "read from %d: status %d", from, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return Batch{}, errors.Wrapf(ErrRefused, "read from %d: status %d", from, resp.StatusCode)
	}
	var b Batch
	if err := json.NewDecoder(body).Decode(&b); err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "read from %d: decode reply: %v", from, err)
	}
	return b, nil
}
