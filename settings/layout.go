package settings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/keyvalue"
)

// KeyPrefix is the prefix of all keys of the tree in the key-value service.
const KeyPrefix = "/valveslip/tree/"

// Keys below KeyPrefix:
//
//	head                       the head record, whose revision every edit compares
//	chunks/<number>            the levels whose path hashes to the number
//	history/<revision>/<part>  an accepted edit, split into parts if it is large
//
// An edit writes the head record, the chunks of the levels that it changes and its
// history entry in one transaction.
const (
	headKey       = KeyPrefix + "head"
	chunkPrefix   = KeyPrefix + "chunks/"
	historyPrefix = KeyPrefix + "history/"
)

const (
	// chunkCount is part of the stored layout and must not change. With 1,700 levels a chunk holds
	// about 27 of them.
	chunkCount = 64
	// maxValueBytes bounds each value written to the key-value service.
	maxValueBytes = 48 << 10
	// maxPartBytes bounds the bytes of a history entry in one value, before base64 encoding.
	maxPartBytes = 32 << 10
	// maxEntryParts bounds the values that store one history entry, so that a transaction stays
	// within 128 operations.
	maxEntryParts = 32
	// layoutVersion is incremented when older versions cannot read the layout.
	layoutVersion = 1
)

// headRecord describes the newest revision. Each edit compares and replaces it.
type headRecord struct {
	Layout   int    `json:"layout"`
	History  string `json:"history"`
	Revision int64  `json:"revision"`
	Digest   uint64 `json:"digest,string"`
	// Oldest is the oldest revision whose entry is kept.
	Oldest int64 `json:"oldest"`
}

func (h headRecord) stamp() Stamp {
	return Stamp{History: h.History, Revision: h.Revision, Digest: h.Digest}
}

// decodeHead decodes a head record. It refuses the layouts of newer versions.
func decodeHead(value []byte) (headRecord, error) {
	var decoded headRecord
	if err := json.Unmarshal(value, &decoded); err != nil {
		return headRecord{}, eris.Wrap(err, "decode the settings head record")
	}
	if decoded.Layout > layoutVersion {
		return headRecord{}, eris.Errorf("settings are stored in layout %d, but this version supports at most layout %d", decoded.Layout, layoutVersion)
	}
	return decoded, nil
}

// chunkNumber returns the number of the chunk that stores the level at path.
func chunkNumber(path string) int { return int(xxhash.Sum64String(path) % chunkCount) }

func chunkKey(number int) string { return fmt.Sprintf("%s%02d", chunkPrefix, number) }

func historyKey(revision int64) string { return fmt.Sprintf("%s%016x/", historyPrefix, revision) }

// levelsByChunk returns the levels of the wanted chunks, grouped by chunk number.
func (t *Tree) levelsByChunk(wanted map[int]bool) map[int][]*Level {
	grouped := make(map[int][]*Level, len(wanted))
	for _, path := range t.paths {
		if number := chunkNumber(path); wanted[number] {
			grouped[number] = append(grouped[number], t.levels[path])
		}
	}
	return grouped
}

// changedChunks returns the numbers of the chunks that differ between two trees.
func changedChunks(before, after *Tree) map[int]bool {
	changed := map[int]bool{}
	for _, path := range before.paths {
		if after.levels[path] != before.levels[path] {
			changed[chunkNumber(path)] = true
		}
	}
	for _, path := range after.paths {
		if before.levels[path] == nil {
			changed[chunkNumber(path)] = true
		}
	}
	return changed
}

// chunkOperations returns the operations that write the changed chunks of the tree.
func chunkOperations(tree *Tree, changed map[int]bool) ([]keyvalue.Operation, error) {
	grouped := tree.levelsByChunk(changed)
	var operations []keyvalue.Operation
	for number := range chunkCount {
		if !changed[number] {
			continue
		}
		operation := keyvalue.Operation{Key: chunkKey(number), Delete: len(grouped[number]) == 0}
		if !operation.Delete {
			operation.Value = encodeJSON(treeDocument{Levels: grouped[number]})
		}
		if len(operation.Value) > maxValueBytes {
			return nil, ValidationErrors{{Path: grouped[number][0].Path,
				Reason: fmt.Sprintf("the tree is too large: a chunk of it would take %d bytes, %d at most", len(operation.Value), maxValueBytes)}}
		}
		operations = append(operations, operation)
	}
	return operations, nil
}

// entryPart is the value that stores one part of a history entry. The parts are joined in the
// order of their numbers.
type entryPart struct {
	Parts int `json:"parts"`
	// Data is a section of the entry's JSON form, encoded in base64.
	Data []byte `json:"data"`
}

// entryOperations returns the operations that write a history entry.
func entryOperations(entry Entry) ([]keyvalue.Operation, error) {
	data := encodeJSON(entry)
	parts := (len(data) + maxPartBytes - 1) / maxPartBytes
	if parts > maxEntryParts {
		return nil, ValidationErrors{{Path: RootPath, Reason: fmt.Sprintf(
			"the edit is too large: %d bytes, %d at most; split it", len(data), maxEntryParts*maxPartBytes)}}
	}
	var operations []keyvalue.Operation
	for part := range parts {
		piece := data[part*maxPartBytes : min((part+1)*maxPartBytes, len(data))]
		operations = append(operations, keyvalue.Operation{
			Key:   historyKey(entry.Revision) + strconv.Itoa(part),
			Value: encodeJSON(entryPart{Parts: parts, Data: piece}),
		})
	}
	return operations, nil
}

// DecodeTreePairs decodes the tree from all pairs below KeyPrefix, which must be read at one
// revision. Without a head record it returns the empty tree and a zero stamp.
func DecodeTreePairs(pairs []keyvalue.KeyValue) (*Tree, Stamp, error) {
	var levels []*Level
	var record headRecord
	for _, pair := range pairs {
		var err error
		switch {
		case pair.Key == headKey:
			record, err = decodeHead(pair.Value)
		case strings.HasPrefix(pair.Key, chunkPrefix):
			var chunk []*Level
			chunk, err = decodeLevels(pair.Value)
			levels = append(levels, chunk...)
		}
		if err != nil {
			return nil, Stamp{}, err
		}
	}
	if record.Revision == 0 {
		return EmptyTree(), Stamp{}, nil
	}
	tree, err := buildCheckedTree(levels)
	if err != nil {
		return nil, Stamp{}, err
	}
	if tree.Digest() != record.Digest {
		return nil, Stamp{}, eris.Errorf("settings tree has digest %x, but the head record states %x", tree.Digest(), record.Digest)
	}
	return tree, record.stamp(), nil
}

// EntriesFromPairs decodes the history entries among the pairs below KeyPrefix, in revision order.
func EntriesFromPairs(pairs []keyvalue.KeyValue) ([]Entry, error) {
	parts := map[string][]entryPart{}
	for _, pair := range pairs {
		name, isEntry := strings.CutPrefix(pair.Key, historyPrefix)
		revision, part, split := strings.Cut(name, "/")
		if !isEntry || !split {
			continue
		}
		var decoded entryPart
		if err := json.Unmarshal(pair.Value, &decoded); err != nil {
			return nil, eris.Wrapf(err, "decode history entry %s", pair.Key)
		}
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 || number >= decoded.Parts || decoded.Parts > maxEntryParts {
			return nil, eris.Errorf("history entry %s has an invalid part number", pair.Key)
		}
		if parts[revision] == nil {
			parts[revision] = make([]entryPart, decoded.Parts)
		}
		if number < len(parts[revision]) {
			parts[revision][number] = decoded
		}
	}
	return joinEntries(parts)
}

// joinEntries joins the parts of each entry, decodes the entries and sorts them by revision.
func joinEntries(parts map[string][]entryPart) ([]Entry, error) {
	entries := make([]Entry, 0, len(parts))
	for revision, pieces := range parts {
		var data []byte
		for _, piece := range pieces {
			if piece.Parts == 0 {
				return nil, eris.Errorf("history entry %s lacks a part", revision)
			}
			data = append(data, piece.Data...)
		}
		var entry Entry
		if err := json.Unmarshal(data, &entry); err != nil {
			return nil, eris.Wrapf(err, "decode history entry %s", revision)
		}
		entry.parts = len(pieces)
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return entries, nil
}

// StampFromEvents returns the newest stamp in a watch batch, and false if the batch has no
// readable head record.
func StampFromEvents(events []keyvalue.Event) (Stamp, bool) {
	for _, event := range slices.Backward(events) {
		if event.KeyValue.Key == headKey && !event.Deleted {
			record, err := decodeHead(event.KeyValue.Value)
			return record.stamp(), err == nil
		}
	}
	return Stamp{}, false
}

// EntriesFromEvents decodes the edits accepted in a watch batch, in revision order. It ignores
// deletions of old entries and changes of other keys.
func EntriesFromEvents(events []keyvalue.Event) ([]Entry, error) {
	var pairs []keyvalue.KeyValue
	for _, event := range events {
		if !event.Deleted {
			pairs = append(pairs, event.KeyValue)
		}
	}
	return EntriesFromPairs(pairs)
}
