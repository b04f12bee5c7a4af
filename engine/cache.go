package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
)

// MaxKVBytes bounds the size of a KV cache that can be moved.
const MaxKVBytes = 4 << 30

// ErrKVTooLarge means that a KV cache is larger than MaxKVBytes.
var ErrKVTooLarge = eris.New("KV cache is larger than the bound")

// KVCache identifies the KV cache of one version of a model. It does not fit any other version.
type KVCache struct {
	Model   cluster.ModelID
	Version string
	// Token is the fencing token of the controller that orders the move. Engines refuse any token
	// except the one they were last sealed with.
	Token cluster.FencingToken
}

// Mover moves KV caches between engines.
type Mover interface {
	// MoveKV exports a KV cache from one address and imports it at another. After an error the
	// importing engine may or may not hold the cache; both are harmless.
	MoveKV(ctx context.Context, from, to string, cache KVCache) error
}

// MoveKV implements Mover. It streams the bytes without buffering the cache.
func (c *Client) MoveKV(ctx context.Context, from, to string, cache KVCache) error {
	exported, err := c.callKV(ctx, http.MethodGet, from, cache, nil, -1)
	if err != nil {
		return err
	}
	defer discard(exported.Body)
	if exported.StatusCode != http.StatusOK {
		return decodeControlAnswer(exported, PathKV, nil)
	}
	if exported.ContentLength > MaxKVBytes {
		return eris.Wrapf(ErrKVTooLarge, "%d bytes", exported.ContentLength)
	}
	imported, err := c.callKV(ctx, http.MethodPut, to, cache, &boundedReader{from: exported.Body, remaining: MaxKVBytes}, exported.ContentLength)
	if err != nil {
		return err
	}
	defer discard(imported.Body)
	return decodeControlAnswer(imported, PathKV, nil)
}

// callKV sends one request to PathKV.
func (c *Client) callKV(ctx context.Context, method, address string, cache KVCache, body io.Reader, length int64) (*http.Response, error) {
	query := url.Values{"version": {cache.Version}, "token": {strconv.FormatUint(uint64(cache.Token), 10)}}
	target := "http://" + address + PathKV + "/" + escapeModel(cache.Model) + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, eris.Wrapf(err, "build %s", PathKV)
	}
	if body != nil {
		request.ContentLength = length
	}
	response, err := c.http.Do(request)
	return response, eris.Wrapf(err, "call %s", PathKV)
}

// boundedReader reads at most remaining bytes and fails if more follow, so that a truncated cache
// is never taken for a complete one.
type boundedReader struct {
	from      io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(into []byte) (int, error) {
	read, err := b.from.Read(into)
	if b.remaining -= int64(read); b.remaining < 0 {
		return 0, ErrKVTooLarge
	}
	return read, err
}
