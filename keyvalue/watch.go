package keyvalue

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/valveslip/valveslip/keyvalue/gateway"
	"github.com/valveslip/valveslip/verdict"
)

// Watch implements Store. It returns nil after a batch with Compacted set, the error of ctx
// when ctx ends, and a NotRun error when the stream breaks: a watch changes nothing, so it can
// always be resumed after the last batch.
func (c *Client) Watch(ctx context.Context, prefix string, startRevision Revision, handle func(WatchBatch)) error {
	keyRange := rangePrefix(prefix)
	request := gateway.WatchRequest{CreateRequest: &gateway.WatchCreateRequest{
		Key: keyRange.Key, RangeEnd: keyRange.RangeEnd,
		StartRevision: gateway.Int64(startRevision), ProgressNotify: true,
	}}
	answer, err := c.post(ctx, gateway.PathWatch, request)
	if err != nil {
		return watchError(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return answerError(answer)
	}
	return watchError(ctx, readWatch(json.NewDecoder(answer.Body), handle))
}

// readWatch calls handle with each batch until the stream ends or has been compacted.
func readWatch(decoder *json.Decoder, handle func(WatchBatch)) error {
	for {
		var response gateway.WatchResponse
		if err := decoder.Decode(&response); err != nil {
			return err
		}
		if response.Error != nil {
			return errors.New(response.Error.Message)
		}
		result := response.Result
		if result.Canceled {
			handle(WatchBatch{Revision: Revision(result.CompactRevision), Compacted: true})
			return nil
		}
		if !result.Created {
			handle(toWatchBatch(result))
		}
	}
}

// toWatchBatch converts one answer of the stream. The revision in the header may be newer than
// the events, so the batch takes the revision of the last event. An answer without events is a
// progress notification, whose header has the revision.
func toWatchBatch(result gateway.WatchResult) WatchBatch {
	events := fromEvents(result.Events)
	if len(events) == 0 {
		return WatchBatch{Revision: Revision(result.Header.Revision)}
	}
	return WatchBatch{Revision: events[len(events)-1].KeyValue.ModRevision, Events: events}
}

// watchError returns the error of Watch for the error that ended the stream.
func watchError(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "the watch broke")
}
