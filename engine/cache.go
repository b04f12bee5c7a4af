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

// MaxKVBytes bounds one move of a KV cache; a larger one is not moved.
const MaxKVBytes = 4 << 30

// ErrKVTooLarge says that a KV cache is larger than MaxKVBytes.
var ErrKVTooLarge = eris.New("KV cache is larger than the bound")

// KVCache names a KV cache: that of one version of a model, which fits no other.
type KVCache struct {
	Model   cluster.ModelID
	Version string
	// Token of the controller that has it moved. Engines refuse any but the one
	// they were last sealed with.
	Token cluster.FencingToken
}

// Mover moves KV caches between engines.
type Mover interface {
	// MoveKV exports a KV cache at one address and imports it at another. After
	// an error the importing engine may hold it or not; neither does harm.
	MoveKV(ctx context.Context, from, to string, cache KVCache) error
}

// MoveKV implements Mover. The bytes stream through; none are kept.
func (c *Client) MoveKV(ctx context.Context, from, to string, cache KVCache) error {
	exported, err := c.kv(ctx, http.MethodGet, from, cache, nil, -1)
	if err != nil {
		return err
	}
	defer discard(exported.Body)
	if exported.StatusCode != http.StatusOK {
		return readControl(exported, PathKV, nil)
	}
	if exported.ContentLength > MaxKVBytes {
		return eris.Wrapf(ErrKVTooLarge, "%d bytes", exported.ContentLength)
	}
	imported, err := c.kv(ctx, http.MethodPut, to, cache, &bounded{from: exported.Body, left: MaxKVBytes}, exported.ContentLength)
	if err != nil {
		return err
	}
	defer discard(imported.Body)
	return readControl(imported, PathKV, nil)
}

// kv makes one call of PathKV.
func (c *Client) kv(ctx context.Context, method, address string, cache KVCache, body io.Reader, length int64) (*http.Response, error) {
	query := url.Values{"version": {cache.Version}, "token": {strconv.FormatUint(uint64(cache.Token), 10)}}
	target := "http://" + address + PathKV + "/" + escape(cache.Model) + "?" + query.Encode()
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

// bounded reads at most left bytes and fails where more follow, so that a cache
// is never taken for whole when it was cut.
type bounded struct {
	from io.Reader
	left int64
}

// Read implements io.Reader.
func (b *bounded) Read(into []byte) (int, error) {
	read, err := b.from.Read(into)
	if b.left -= int64(read); b.left < 0 {
		return 0, ErrKVTooLarge
	}
	return read, err
}
