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

// KeyPrefix is where the tree is kept in the key-value service.
const KeyPrefix = "/valveslip/tree/"

// The keys below KeyPrefix:
//
//	head                       the head record; every edit compares its revision
//	chunks/<number>            the levels whose path hashes to the number
//	history/<revision>/<part>  an accepted edit, split where it is large
//
// One edit writes the head, the chunks of the levels it changes and its history
// entry in one transaction.
const (
	headKey       = KeyPrefix + "head"
	chunkPrefix   = KeyPrefix + "chunks/"
	historyPrefix = KeyPrefix + "history/"
)

const (
	// chunkCount is fixed: at 1,700 levels a chunk holds about 27 of them.
	chunkCount = 64
	// maxValueBytes bounds every value written.
	maxValueBytes = 48 << 10
	// maxPartBytes of an entry stand in one value, before base64.
	maxPartBytes = 32 << 10
	// maxEditParts bounds how many values one history entry takes, so that a
	// transaction stays within 128 operations.
	maxEditParts = 32
	// layoutVersion is raised when older versions cannot read the layout.
	layoutVersion = 1
)

// head is the record that every edit compares and replaces.
type head struct {
	Layout   int    `json:"layout"`
	History  string `json:"history"`
	Revision int64  `json:"revision"`
	Digest   uint64 `json:"digest,string"`
	// Oldest revision whose entry is kept.
	Oldest int64 `json:"oldest"`
}

func (h head) stamp() Stamp {
	return Stamp{History: h.History, Revision: h.Revision, Digest: h.Digest}
}

// decodeHead reads a head record.
func decodeHead(value []byte) (head, error) {
	var decoded head
	if err := json.Unmarshal(value, &decoded); err != nil {
		return head{}, eris.Wrap(err, "settings head is not readable")
	}
	if decoded.Layout > layoutVersion {
		return head{}, eris.Errorf("settings are stored in layout %d, this version reads up to %d", decoded.Layout, layoutVersion)
	}
	return decoded, nil
}

// chunkOf returns the number of the chunk that holds the level at path.
func chunkOf(path string) int { return int(xxhash.Sum64String(path) % chunkCount) }

func chunkKey(number int) string { return fmt.Sprintf("%s%02d", chunkPrefix, number) }

func historyKey(revision int64) string { return fmt.Sprintf("%s%016x/", historyPrefix, revision) }

// chunks groups the levels of the tree that stand in the wanted chunks.
func (t *Tree) chunks(wanted map[int]bool) map[int][]*Level {
	grouped := make(map[int][]*Level, len(wanted))
	for _, path := range t.paths {
		if number := chunkOf(path); wanted[number] {
			grouped[number] = append(grouped[number], t.levels[path])
		}
	}
	return grouped
}

// changedChunks returns the chunks in which two trees differ.
func changedChunks(before, after *Tree) map[int]bool {
	changed := map[int]bool{}
	for _, path := range before.paths {
		if after.levels[path] != before.levels[path] {
			changed[chunkOf(path)] = true
		}
	}
	for _, path := range after.paths {
		if before.levels[path] == nil {
			changed[chunkOf(path)] = true
		}
	}
	return changed
}

// chunkOperations writes the given chunks of the tree.
func chunkOperations(tree *Tree, changed map[int]bool) ([]keyvalue.Operation, error) {
	grouped := tree.chunks(changed)
	var operations []keyvalue.Operation
	for number := range chunkCount {
		if !changed[number] {
			continue
		}
		operation := keyvalue.Operation{Key: chunkKey(number), Delete: len(grouped[number]) == 0}
		if !operation.Delete {
			operation.Value = encodeJSON(document{Levels: grouped[number]})
		}
		if len(operation.Value) > maxValueBytes {
			return nil, ValidationErrors{{Path: grouped[number][0].Path,
				Reason: fmt.Sprintf("the tree is too large: a chunk of it would take %d bytes, %d at most", len(operation.Value), maxValueBytes)}}
		}
		operations = append(operations, operation)
	}
	return operations, nil
}

// entryPart is one value of a history entry. Parts are joined by number.
type entryPart struct {
	Parts int `json:"parts"`
	// Data is a piece of the entry's JSON form, in base64.
	Data []byte `json:"data"`
}

// entryOperations writes a history entry.
func entryOperations(entry Entry) ([]keyvalue.Operation, error) {
	data := encodeJSON(entry)
	parts := (len(data) + maxPartBytes - 1) / maxPartBytes
	if parts > maxEditParts {
		return nil, ValidationErrors{{Path: RootPath, Reason: fmt.Sprintf(
			"the edit is too large: %d bytes, %d at most; split it", len(data), maxEditParts*maxPartBytes)}}
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

// FromPairs reads the tree from all pairs below KeyPrefix, read at one
// revision. Without a head record it returns the empty tree and a zero stamp.
func FromPairs(pairs []keyvalue.KeyValue) (*Tree, Stamp, error) {
	var levels []*Level
	var record head
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
		return Empty(), Stamp{}, nil
	}
	tree, err := assemble(levels)
	if err != nil {
		return nil, Stamp{}, err
	}
	if tree.Digest() != record.Digest {
		return nil, Stamp{}, eris.Errorf("settings digest is %x, the head record says %x", tree.Digest(), record.Digest)
	}
	return tree, record.stamp(), nil
}

// EntriesFromPairs reads the history entries among pairs below KeyPrefix, in
// revision order.
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
			return nil, eris.Wrapf(err, "history entry %s is not readable", pair.Key)
		}
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 || number >= decoded.Parts || decoded.Parts > maxEditParts {
			return nil, eris.Errorf("history entry %s has a wrong part", pair.Key)
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

// joinEntries decodes entries from their parts.
func joinEntries(parts map[string][]entryPart) ([]Entry, error) {
	entries := make([]Entry, 0, len(parts))
	for revision, pieces := range parts {
		var data []byte
		for _, piece := range pieces {
			if piece.Parts == 0 {
				return nil, eris.Errorf("history entry %s misses a part", revision)
			}
			data = append(data, piece.Data...)
		}
		var entry Entry
		if err := json.Unmarshal(data, &entry); err != nil {
			return nil, eris.Wrapf(err, "history entry %s is not readable", revision)
		}
		entry.parts = len(pieces)
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return entries, nil
}

// StampFromEvents returns the stamp that a watch batch led to, false when the
// batch has none that can be read.
func StampFromEvents(events []keyvalue.Event) (Stamp, bool) {
	for _, event := range slices.Backward(events) {
		if event.KeyValue.Key == headKey && !event.Deleted {
			record, err := decodeHead(event.KeyValue.Value)
			return record.stamp(), err == nil
		}
	}
	return Stamp{}, false
}

// EntriesFromEvents reads the edits accepted in a watch batch, in revision
// order. Deletions of old entries and changes of other keys are passed over.
func EntriesFromEvents(events []keyvalue.Event) ([]Entry, error) {
	var pairs []keyvalue.KeyValue
	for _, event := range events {
		if !event.Deleted {
			pairs = append(pairs, event.KeyValue)
		}
	}
	return EntriesFromPairs(pairs)
}
