package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/tcp"
)

// Paths of the platform's HTTP API.
const (
	PathRow     = "/table/row"
	PathRows    = "/table/rows"
	PathCommit  = "/table/commit"
	PathObjects = "/objects/"
	PathVMs     = "/vms"
	PathSubmit  = "/ratings/submit"
	PathPoll    = "/ratings/poll"
	PathWeights = "/weights/acquire"
)

const maxReplyBytes = 64 << 20

// CommitRequest is the request body of PathCommit.
type CommitRequest struct {
	Ops []Op `json:"ops"`
}

// CommitReply is the response body of PathCommit. It holds the new versions of
// the written rows.
type CommitReply struct {
	Versions []uint64 `json:"versions"`
}

// Client calls all of the platform's services over HTTP. It does not retry.
type Client struct {
	base string
	http *http.Client
}

var (
	_ Table       = (*Client)(nil)
	_ ObjectStore = (*Client)(nil)
	_ VMList      = (*Client)(nil)
	_ Ratings     = (*Client)(nil)
	_ Weights     = (*Client)(nil)
)

// NewClient returns a client of the platform at the URL base, such as
// "http://10.0.0.1:7000". Each call takes at most timeout.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: base, http: &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: tcp.Dialer{}.Dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}}}
}

// call sends one request and decodes the reply into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(b)
	}
	raw, err := c.roundTrip(ctx, method, path, body)
	if err != nil || out == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(raw, out), "decode the platform's reply")
}

func (c *Client) roundTrip(ctx context.Context, method, path string, body io.Reader) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return raw, nil
	case http.StatusNotFound:
		return nil, ErrNotFound
	case http.StatusConflict:
		return nil, ErrConflict
	default:
		return nil, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.call(ctx, http.MethodGet, PathRow+"?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := c.call(ctx, http.MethodGet, PathRows+"?"+q.Encode(), nil, &rows)
	return rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, ops ...Op) ([]uint64, error) {
	var reply CommitReply
	err := c.call(ctx, http.MethodPost, PathCommit, CommitRequest{Ops: ops}, &reply)
	return reply.Versions, err
}

// PutObject implements ObjectStore.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := c.roundTrip(ctx, http.MethodPut, PathObjects+url.PathEscape(name), bytes.NewReader(body))
	return err
}

// GetObject implements ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.roundTrip(ctx, http.MethodGet, PathObjects+url.PathEscape(name), nil)
}

// VMs implements VMList.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.call(ctx, http.MethodGet, PathVMs, nil, &vms)
	return vms, err
}

// Submit implements Ratings.
func (c *Client) Submit(ctx context.Context, samples []Sample) error {
	return c.call(ctx, http.MethodPost, PathSubmit, samples, nil)
}

// Poll implements Ratings.
func (c *Client) Poll(ctx context.Context, requests []string) ([]Rating, error) {
	var ratings []Rating
	err := c.call(ctx, http.MethodPost, PathPoll, requests, &ratings)
	return ratings, err
}

// WaitReply is the response body of PathWeights.
type WaitReply struct {
	// WaitMilliseconds is the time to wait before the load may begin.
	WaitMilliseconds int64 `json:"wait_ms"`
}

// Acquire implements Weights.
func (c *Client) Acquire(ctx context.Context, target string) (time.Duration, error) {
	var reply WaitReply
	err := c.call(ctx, http.MethodPost, PathWeights+"?target="+url.QueryEscape(target), nil, &reply)
	return time.Duration(reply.WaitMilliseconds) * time.Millisecond, err
}
