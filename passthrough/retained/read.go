package retained

import "io"

// Sizes of the first buffer for a body, with and without a stated length: most bodies fit it.
const (
	initialBytes              = 16 << 10
	initialBytesUnknownLength = 4 << 10
)

// Hold is the part of an account that one request has reserved. It is not safe for concurrent use.
type Hold struct {
	account *Account
	bytes   int64
}

// NewHold returns an empty reservation of an account.
func NewHold(account *Account) *Hold { return &Hold{account: account} }

// Bytes returns the number of reserved bytes.
func (h *Hold) Bytes() int64 { return h.bytes }

// Grow reserves n more bytes. It returns false if they would exceed the limit.
func (h *Hold) Grow(n int64) bool {
	if !h.account.Reserve(n) {
		return false
	}
	h.bytes += max(n, 0)
	return true
}

// Shrink returns n bytes to the account.
func (h *Hold) Shrink(n int64) {
	h.account.Release(n)
	h.bytes -= n
}

// Release returns all reserved bytes to the account.
func (h *Hold) Release() {
	h.account.Release(h.bytes)
	h.bytes = 0
}

// ReadAll reads a body to its end. length is the stated length, negative if unknown. It reserves
// memory as the data arrives, so that a caller that states a length and sends nothing takes next
// to none. complete is false if the account is full; the unread part of the body then follows
// data.
func (h *Hold) ReadAll(body io.Reader, length int64) (data []byte, complete bool, err error) {
	size := int64(initialBytesUnknownLength)
	if length >= 0 {
		size = min(length, initialBytes)
	}
	for {
		if !h.Grow(size) {
			return data, false, nil
		}
		// One extra byte lets Read return the end of the body without another allocation.
		grown := make([]byte, len(data), len(data)+int(size)+1)
		copy(grown, data)
		data = grown
		for len(data) < cap(data) {
			n, err := body.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
			if err == io.EOF {
				return data, true, nil
			}
			if err != nil {
				return data, false, err
			}
		}
		size = int64(len(data))
		if rest := length - size; rest >= 0 {
			size = min(rest, size)
		}
	}
}
