package keyvalue

import "github.com/valveslip/valveslip/keyvalue/gateway"

// toTxn converts a transaction to the gateway's request.
func toTxn(transaction Transaction) gateway.TxnRequest {
	var request gateway.TxnRequest
	for _, compare := range transaction.Compares {
		request.Compare = append(request.Compare, gateway.Compare{
			Target: gateway.TargetMod, Result: gateway.ResultEqual,
			Key: []byte(compare.Key), ModRevision: gateway.Int64(compare.ModRevision),
		})
	}
	for _, operation := range transaction.Operations {
		request.Success = append(request.Success, toOperation(operation))
	}
	for _, key := range transaction.Reads {
		request.Failure = append(request.Failure, gateway.RequestOperation{
			Range: &gateway.RangeRequest{Key: []byte(key)},
		})
	}
	return request
}

// toOperation converts a write to the gateway's operation.
func toOperation(operation Operation) gateway.RequestOperation {
	if operation.Delete {
		return gateway.RequestOperation{DeleteRange: &gateway.DeleteRangeRequest{Key: []byte(operation.Key)}}
	}
	return gateway.RequestOperation{Put: &gateway.PutRequest{
		Key: []byte(operation.Key), Value: operation.Value, Lease: gateway.Int64(operation.Lease),
	}}
}

// fromPairs converts the gateway's pairs. The result is never nil.
func fromPairs(pairs []gateway.KeyValue) []KeyValue {
	result := make([]KeyValue, 0, len(pairs))
	for _, pair := range pairs {
		result = append(result, fromPair(pair))
	}
	return result
}

// fromPair converts one of the gateway's pairs.
func fromPair(pair gateway.KeyValue) KeyValue {
	return KeyValue{
		Key: string(pair.Key), Value: pair.Value,
		CreateRevision: Revision(pair.CreateRevision), ModRevision: Revision(pair.ModRevision),
		Version: int64(pair.Version), Lease: int64(pair.Lease),
	}
}

// fromEvents converts the gateway's events. The result is never nil.
func fromEvents(events []gateway.Event) []Event {
	result := make([]Event, 0, len(events))
	for _, event := range events {
		result = append(result, Event{KeyValue: fromPair(event.KV), Deleted: event.Type == gateway.TypeDelete})
	}
	return result
}
