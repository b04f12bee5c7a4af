package keyvalue

import "github.com/valveslip/valveslip/keyvalue/gateway"

// toTxn writes a transaction in the gateway's form.
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

// toOperation writes one write in the gateway's form.
func toOperation(operation Operation) gateway.RequestOperation {
	if operation.Delete {
		return gateway.RequestOperation{DeleteRange: &gateway.DeleteRangeRequest{Key: []byte(operation.Key)}}
	}
	return gateway.RequestOperation{Put: &gateway.PutRequest{
		Key: []byte(operation.Key), Value: operation.Value, Lease: gateway.Int64(operation.Lease),
	}}
}

// fromPairs reads pairs from the gateway's form.
func fromPairs(pairs []gateway.KeyValue) []KeyValue {
	result := make([]KeyValue, 0, len(pairs))
	for _, pair := range pairs {
		result = append(result, fromPair(pair))
	}
	return result
}

// fromPair reads one pair from the gateway's form.
func fromPair(pair gateway.KeyValue) KeyValue {
	return KeyValue{
		Key: string(pair.Key), Value: pair.Value,
		CreateRevision: int64(pair.CreateRevision), ModRevision: int64(pair.ModRevision),
		Version: int64(pair.Version), Lease: int64(pair.Lease),
	}
}

// fromEvents reads changes from the gateway's form.
func fromEvents(events []gateway.Event) []Event {
	result := make([]Event, 0, len(events))
	for _, event := range events {
		result = append(result, Event{KeyValue: fromPair(event.KV), Deleted: event.Type == gateway.TypeDelete})
	}
	return result
}
