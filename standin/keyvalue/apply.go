package keyvalue

import (
	"cmp"
	"errors"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/gateway"
)

// errInvalidTransaction means that a gateway request has an unknown compare
// target, compare result or operation.
var errInvalidTransaction = errors.New("invalid transaction")

// Apply applies a transaction in the gateway's form. It allows more than the
// client in package keyvalue uses: compares of any target and result, and writes
// and reads in both branches. All writes of a branch share one revision and are
// applied before its reads.
func (s *State) Apply(now time.Time, request gateway.TxnRequest) (gateway.TxnResponse, error) {
	s.Expire(now)
	succeeded := true
	for _, compare := range request.Compare {
		holds, err := s.evaluateCompare(compare)
		if err != nil {
			return gateway.TxnResponse{}, err
		}
		succeeded = succeeded && holds
	}
	branch := request.Success
	if !succeeded {
		branch = request.Failure
	}
	response := gateway.TxnResponse{Succeeded: succeeded}
	writes, deleted, err := s.collectWrites(branch)
	if err != nil {
		return response, err
	}
	if err := s.applyOperations(writes); err != nil {
		return response, err
	}
	response.Header = s.responseHeader()
	for i, operation := range branch {
		response.Responses = append(response.Responses, s.operationResponse(operation, deleted[i]))
	}
	return response, nil
}

// evaluateCompare reports whether a compare is true.
func (s *State) evaluateCompare(compare gateway.Compare) (bool, error) {
	pair := s.pairs[string(compare.Key)]
	var order int
	switch compare.Target {
	case gateway.TargetMod:
		order = cmp.Compare(pair.ModRevision, keyvalue.Revision(compare.ModRevision))
	case gateway.TargetCreate:
		order = cmp.Compare(pair.CreateRevision, keyvalue.Revision(compare.CreateRevision))
	case gateway.TargetVersion, "":
		order = cmp.Compare(pair.Version, int64(compare.Version))
	default:
		return false, errInvalidTransaction
	}
	switch compare.Result {
	case gateway.ResultEqual, "":
		return order == 0, nil
	case gateway.ResultNotEqual:
		return order != 0, nil
	case gateway.ResultGreater:
		return order > 0, nil
	case gateway.ResultLess:
		return order < 0, nil
	default:
		return false, errInvalidTransaction
	}
}

// collectWrites returns the writes of a branch, with range deletes resolved to
// single keys, and the number of keys that each operation deletes.
func (s *State) collectWrites(branch []gateway.RequestOperation) ([]keyvalue.Operation, []int, error) {
	var writes []keyvalue.Operation
	deleted := make([]int, len(branch))
	for i, operation := range branch {
		switch {
		case operation.Put != nil:
			writes = append(writes, keyvalue.Operation{
				Key: string(operation.Put.Key), Value: operation.Put.Value, Lease: int64(operation.Put.Lease),
			})
		case operation.DeleteRange != nil:
			pairs := s.pairsInRange(string(operation.DeleteRange.Key), string(operation.DeleteRange.RangeEnd))
			deleted[i] = len(pairs)
			for _, pair := range pairs {
				writes = append(writes, keyvalue.Operation{Key: pair.Key, Delete: true})
			}
		case operation.Range == nil:
			return nil, nil, errInvalidTransaction
		}
	}
	return writes, deleted, nil
}

// operationResponse returns the response to one operation of an applied branch.
func (s *State) operationResponse(operation gateway.RequestOperation, deleted int) gateway.ResponseOperation {
	switch {
	case operation.Put != nil:
		return gateway.ResponseOperation{Put: &gateway.PutResponse{Header: s.responseHeader()}}
	case operation.DeleteRange != nil:
		return gateway.ResponseOperation{DeleteRange: &gateway.DeleteRangeResponse{Header: s.responseHeader(), Deleted: gateway.Int64(deleted)}}
	default:
		response := s.rangeResponse(*operation.Range)
		return gateway.ResponseOperation{Range: &response}
	}
}

// rangeResponse returns the response to a range request.
func (s *State) rangeResponse(request gateway.RangeRequest) gateway.RangeResponse {
	pairs := s.pairsInRange(string(request.Key), string(request.RangeEnd))
	response := gateway.RangeResponse{Header: s.responseHeader(), Count: gateway.Int64(len(pairs))}
	if limit := int(request.Limit); limit > 0 && len(pairs) > limit {
		pairs, response.More = pairs[:limit], true
	}
	for _, pair := range pairs {
		response.KVs = append(response.KVs, toGateway(pair))
	}
	return response
}

func (s *State) responseHeader() gateway.Header {
	return gateway.Header{Revision: gateway.Int64(s.revision)}
}

// toGateway converts a pair to the gateway's type.
func toGateway(pair keyvalue.KeyValue) gateway.KeyValue {
	return gateway.KeyValue{
		Key: []byte(pair.Key), Value: pair.Value,
		CreateRevision: gateway.Int64(pair.CreateRevision), ModRevision: gateway.Int64(pair.ModRevision),
		Version: gateway.Int64(pair.Version), Lease: gateway.Int64(pair.Lease),
	}
}
