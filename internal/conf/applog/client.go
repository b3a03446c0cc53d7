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

// Timeouts of the client. They leave room for a second attempt within the
// 7 s in which an accepted revision is in force everywhere.
const (
	DefaultAppendTimeout = 2 * time.Second
	DefaultReadTimeout   = 2 * time.Second
	dialTimeout          = time.Second
	// maxReply bounds what a broken service makes a daemon keep in memory.
	maxReply = 16 << 20
	maxError = 4 << 10
)

// GoneError says that a read asked for records that retention has dropped.
type GoneError struct {
	FromOffset, FirstOffset int64
}

func (e *GoneError) Error() string {
	return fmt.Sprintf("offset %d is no longer kept, the log begins at %d", e.FromOffset, e.FirstOffset)
}

// RateLimitError says that the service's append rate is used up; nothing
// happened.
type RateLimitError struct {
	RetryAfter time.Duration
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("append rate of the log service is used up, retry after %s", e.RetryAfter)
}

// Unwrap makes the error a kind of ErrUnavailable.
func (e *RateLimitError) Unwrap() error { return ErrUnavailable }

// Client is a client of the log service. It is safe for concurrent use.
type Client struct {
	base          string
	client        *http.Client
	appendTimeout time.Duration
	readTimeout   time.Duration
}

// Option changes a client.
type Option func(*Client)

// WithTimeouts sets how long an append and a read may take.
func WithTimeouts(appends, reads time.Duration) Option {
	return func(h *Client) { h.appendTimeout, h.readTimeout = appends, reads }
}

// NewClient returns a client of the service at a base URL.
func NewClient(base string, opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	h := &Client{
		base:          strings.TrimSuffix(base, "/"),
		client:        &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
		appendTimeout: DefaultAppendTimeout,
		readTimeout:   DefaultReadTimeout,
	}
	for _, o := range opts {
		o(h)
	}
	return h
}

// Close drops idle connections.
func (h *Client) Close() { h.client.CloseIdleConnections() }

// Ack is the service's answer to an append. The generation tells an append to
// a log that began anew.
type Ack struct {
	Offset     int64  `json:"offset"`
	Generation string `json:"generation"`
}

// AckAppender is a log whose acknowledgements name the generation.
type AckAppender interface {
	AppendAck(ctx context.Context, r Record) (Ack, error)
}

// GoneReply is the service's answer to a read of dropped records.
type GoneReply struct {
	FirstOffset int64 `json:"first"`
}

// Append adds a record.
func (h *Client) Append(ctx context.Context, r Record) (int64, error) {
	ack, err := h.AppendAck(ctx, r)
	return ack.Offset, err
}

// AppendAck adds a record and returns the whole acknowledgement.
func (h *Client) AppendAck(ctx context.Context, r Record) (Ack, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Ack{}, errors.Wrapf(ErrRefused, "encode record %s: %v", r.ID, err)
	}
	ctx, cancel := context.WithTimeout(ctx, h.appendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+"/v1/records", bytes.NewReader(body))
	if err != nil {
		return Ack{}, errors.Wrapf(ErrRefused, "request: %v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	// The transport repeats a request with GetBody by itself when a kept
	// connection breaks; the follower decides about repetitions instead.
	req.GetBody = nil
	resp, err := h.client.Do(req)
	if err != nil {
		if notSent(err) {
			return Ack{}, errors.Wrapf(ErrUnavailable, "append %s: %v", r.ID, err)
		}
		return Ack{}, errors.Wrapf(ErrOutcomeUnknown, "append %s: %v", r.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Ack{}, appendError(resp, r.ID)
	}
	var ack Ack
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxError)).Decode(&ack); err != nil {
		return Ack{}, errors.Wrapf(ErrOutcomeUnknown, "append %s: reply: %v", r.ID, err)
	}
	return ack, nil
}

// notSent reports whether no connection was made, so that the service can't
// have seen the request.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func appendError(resp *http.Response, id string) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxError))
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

// Read returns records from an offset on.
func (h *Client) Read(ctx context.Context, from int64, limit int) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, h.readTimeout)
	defer cancel()
	q := url.Values{"from": {strconv.FormatInt(from, 10)}, "limit": {strconv.Itoa(limit)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"/v1/records?"+q.Encode(), nil)
	if err != nil {
		return Batch{}, errors.Wrapf(ErrRefused, "request: %v", err)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "read from %d: %v", from, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body := io.LimitReader(resp.Body, maxReply)
	switch {
	case resp.StatusCode == http.StatusGone:
		var gone GoneReply
		if err := json.NewDecoder(body).Decode(&gone); err != nil {
			return Batch{}, errors.Wrapf(ErrUnavailable, "read from %d: reply: %v", from, err)
		}
		return Batch{}, &GoneError{FromOffset: from, FirstOffset: gone.FirstOffset}
	case resp.StatusCode >= http.StatusInternalServerError:
		return Batch{}, errors.Wrapf(ErrUnavailable, "read from %d: status %d", from, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return Batch{}, errors.Wrapf(ErrRefused, "read from %d: status %d", from, resp.StatusCode)
	}
	var b Batch
	if err := json.NewDecoder(body).Decode(&b); err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "read from %d: reply: %v", from, err)
	}
	return b, nil
}
