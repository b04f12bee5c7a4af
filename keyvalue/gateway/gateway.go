package gateway

import (
	"strconv"
	"strings"
)

// Paths of the gateway, all for POST requests.
const (
	PathRange       = "/v3/kv/range"
	PathTxn         = "/v3/kv/txn"
	PathCompaction  = "/v3/kv/compaction"
	PathLeaseGrant  = "/v3/lease/grant"
	PathLeaseRevoke = "/v3/lease/revoke"
	// PathKVLeaseRevoke is an older equivalent of PathLeaseRevoke.
	PathKVLeaseRevoke  = "/v3/kv/lease/revoke"
	PathLeaseKeepAlive = "/v3/lease/keepalive"
	PathWatch          = "/v3/watch"
)

// gRPC status codes in the gateway's errors.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Int64 is a 64-bit integer in the gateway's mapping: it is written as a decimal string and
// read from a string or a number.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (i Int64) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Int64) UnmarshalJSON(data []byte) error {
	text := strings.Trim(string(data), `"`)
	if text == "" || text == "null" {
		*i = 0
		return nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	*i = Int64(value)
	return err
}

// Error is the body of an answer whose status is not 200.
type Error struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Header is part of every answer.
type Header struct {
	Revision Int64 `json:"revision,omitempty"`
}

// KeyValue is a stored pair.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest reads Key, or with RangeEnd all keys from Key up to but not including RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    Int64  `json:"limit,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease Int64  `json:"lease,omitempty"`
}

// DeleteRangeRequest deletes the keys that a RangeRequest with the same fields reads.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// Values of Compare.Target and Compare.Result.
const (
	TargetVersion = "VERSION"
	TargetCreate  = "CREATE"
	TargetMod     = "MOD"

	ResultEqual    = "EQUAL"
	ResultGreater  = "GREATER"
	ResultLess     = "LESS"
	ResultNotEqual = "NOT_EQUAL"
)

// Compare is a condition of a transaction.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         string `json:"target,omitempty"`
	Key            []byte `json:"key,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
}

// RequestOperation is an operation of a transaction; exactly one field is set.
type RequestOperation struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest applies the operations in Success if all of Compare hold, otherwise those in
// Failure.
type TxnRequest struct {
	Compare []Compare          `json:"compare,omitempty"`
	Success []RequestOperation `json:"success,omitempty"`
	Failure []RequestOperation `json:"failure,omitempty"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeResponse answers a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted Int64  `json:"deleted,omitempty"`
}

// ResponseOperation is the answer to a RequestOperation.
type ResponseOperation struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header              `json:"header"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []ResponseOperation `json:"responses,omitempty"`
}

// CompactionRequest discards the history before Revision.
type CompactionRequest struct {
	Revision Int64 `json:"revision,omitempty"`
}

// CompactionResponse answers a CompactionRequest.
type CompactionResponse struct {
	Header Header `json:"header"`
}

// LeaseGrantRequest asks for a lease of TTL seconds. With a zero ID the service chooses the ID.
type LeaseGrantRequest struct {
	TTL Int64 `json:"TTL,omitempty"`
	ID  Int64 `json:"ID,omitempty"`
}

// LeaseGrantResponse answers a LeaseGrantRequest.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     Int64  `json:"ID,omitempty"`
	TTL    Int64  `json:"TTL,omitempty"`
}

// LeaseRequest is the body of a keep-alive or a revocation.
type LeaseRequest struct {
	ID Int64 `json:"ID,omitempty"`
}

// LeaseRevokeResponse answers a revocation.
type LeaseRevokeResponse struct {
	Header Header `json:"header"`
}

// LeaseKeepAliveResponse is an answer to a keep-alive, one message of a stream. A zero TTL means
// that the lease has expired.
type LeaseKeepAliveResponse struct {
	Result struct {
		Header Header `json:"header"`
		ID     Int64  `json:"ID,omitempty"`
		TTL    Int64  `json:"TTL,omitempty"`
	} `json:"result"`
}

// WatchCreateRequest starts a watch at StartRevision, or at the next revision if StartRevision is
// zero.
type WatchCreateRequest struct {
	Key            []byte `json:"key,omitempty"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  Int64  `json:"start_revision,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchRequest is the body of a watch.
type WatchRequest struct {
	CreateRequest *WatchCreateRequest `json:"create_request,omitempty"`
}

// TypeDelete is the type of a deletion event; a put event has no type.
const TypeDelete = "DELETE"

// Event is a change of a pair.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is an answer to a watch, one message of a stream.
type WatchResponse struct {
	Result WatchResult `json:"result"`
	Error  *Error      `json:"error,omitempty"`
}

// WatchResult is the content of a WatchResponse without an error.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// PrefixEnd returns the RangeEnd that covers all keys beginning with prefix. "\x00" stands for
// the end of the key space.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
