package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valveslip/valveslip/internal/sockopt"
	"github.com/valveslip/valveslip/keyvalue/gateway"
	"github.com/valveslip/valveslip/verdict"
)

// ErrLeaseNotFound is the cause of an error about a lease that the service does not know,
// because it has expired, was revoked or never existed.
var ErrLeaseNotFound = errors.New("lease not found")

const (
	dialTimeout               = 2 * time.Second
	maxIdleConnectionsPerHost = 16
	idleConnectionTimeout     = 60 * time.Second
	maxErrorBytes             = 64 << 10
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

// keepAliveConfig makes the kernel detect within 11 s that the peer has vanished without
// closing the connection. A watch would otherwise wait for it much longer.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// userTimeout bounds how long sent bytes may stay unacknowledged. It does not end keep-alive probes before
// keepAliveConfig does.
const userTimeout = 11 * time.Second

// Client is a client of the etcd v3 HTTP/JSON gateway. It is safe for concurrent use. It
// never retries, because only its user knows whether a request may be applied twice.
type Client struct {
	url        string
	httpClient *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the service at url, such as http://127.0.0.1:2379.
func NewClient(url string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, Control: sockopt.UserTimeout(userTimeout), KeepAliveConfig: keepAliveConfig}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnectionsPerHost,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}
	return &Client{url: strings.TrimSuffix(url, "/"), httpClient: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Range implements Store.
func (c *Client) Range(ctx context.Context, prefix string) ([]KeyValue, Revision, error) {
	var response gateway.RangeResponse
	err := c.call(ctx, gateway.PathRange, rangePrefix(prefix), &response)
	if err != nil {
		return nil, 0, err
	}
	return fromPairs(response.KVs), Revision(response.Header.Revision), nil
}

// rangePrefix returns the request for all keys that begin with prefix; the empty prefix
// means all keys.
func rangePrefix(prefix string) gateway.RangeRequest {
	key := []byte(prefix)
	if prefix == "" {
		key = []byte{0}
	}
	return gateway.RangeRequest{Key: key, RangeEnd: gateway.PrefixEnd(prefix)}
}

// Txn implements Store.
func (c *Client) Txn(ctx context.Context, transaction Transaction) (TransactionResult, error) {
	var response gateway.TxnResponse
	if err := c.call(ctx, gateway.PathTxn, toTxn(transaction), &response); err != nil {
		return TransactionResult{}, err
	}
	result := TransactionResult{Succeeded: response.Succeeded, Revision: Revision(response.Header.Revision)}
	if response.Succeeded {
		return result, nil
	}
	for _, operation := range response.Responses {
		if operation.Range != nil {
			result.Found = append(result.Found, fromPairs(operation.Range.KVs)...)
		}
	}
	return result, nil
}

// Grant implements Store. The TTL is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	seconds := gateway.Int64((ttl + time.Second - 1) / time.Second)
	var response gateway.LeaseGrantResponse
	err := c.call(ctx, gateway.PathLeaseGrant, gateway.LeaseGrantRequest{TTL: seconds}, &response)
	return int64(response.ID), err
}

// KeepAlive implements Store. For an expired lease it returns an error with the cause
// ErrLeaseNotFound.
func (c *Client) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var response gateway.LeaseKeepAliveResponse
	err := c.call(ctx, gateway.PathLeaseKeepAlive, gateway.LeaseRequest{ID: gateway.Int64(lease)}, &response)
	if err != nil {
		return 0, err
	}
	if response.Result.TTL <= 0 {
		return 0, verdict.Wrap(ErrLeaseNotFound, verdict.NotRun, verdict.CodeConflict, "the lease has expired")
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	var response gateway.LeaseRevokeResponse
	return c.call(ctx, gateway.PathLeaseRevoke, gateway.LeaseRequest{ID: gateway.Int64(lease)}, &response)
}

// call sends a request and decodes the answer into response.
func (c *Client) call(ctx context.Context, path string, request, response any) error {
	answer, err := c.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer func() {
		_, _ = io.CopyN(io.Discard, answer.Body, maxErrorBytes)
		_ = answer.Body.Close()
	}()
	if answer.StatusCode != http.StatusOK {
		return answerError(answer)
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(response); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "the key-value service's answer was cut")
	}
	return nil
}

// post sends a request and returns the HTTP answer. An error is NotRun only if no connection
// was obtained, so that the service cannot have received the request.
func (c *Client) post(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "the request cannot be encoded")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	httpRequest, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "the request cannot be built")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	answer, err := c.httpClient.Do(httpRequest)
	switch {
	case err == nil:
		return answer, nil
	case connected.Load():
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "the key-value service did not answer")
	default:
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "the key-value service cannot be reached")
	}
}

// answerError returns the error for an answer whose status is not 200. With a 4xx status or
// 503 the service has applied nothing; with any other it may have applied the request.
func answerError(answer *http.Response) error {
	var body gateway.Error
	_ = json.NewDecoder(io.LimitReader(answer.Body, maxErrorBytes)).Decode(&body)
	result := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the key-value service answered %d: %s", answer.StatusCode, body.Message)
	switch {
	case answer.StatusCode == http.StatusTooManyRequests:
		result.Verdict, result.Code = verdict.NotRun, verdict.CodeRequestRateLimit
	case answer.StatusCode == http.StatusServiceUnavailable:
		result.Verdict = verdict.NotRun
	case answer.StatusCode == http.StatusNotFound && body.Code == gateway.CodeNotFound:
		result.Verdict, result.Code, result.Cause = verdict.NotRun, verdict.CodeConflict, ErrLeaseNotFound
	case answer.StatusCode >= http.StatusBadRequest && answer.StatusCode < http.StatusInternalServerError:
		result.Verdict, result.Code = verdict.NotRun, verdict.CodeInvalidRequest
	}
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return result
}
