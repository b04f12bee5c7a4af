package authority

import (
	"slices"
	"strings"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
)

// Keys of the allotments in the key-value service.
const (
	// AllotmentGuardKey is rewritten by every transaction that stores allotments, and each
	// transaction compares its revision. This serializes the transactions of all nodes.
	AllotmentGuardKey = "/valveslip/division"
	// AllotmentKeyPrefix is followed by the zone's ID.
	AllotmentKeyPrefix = "/valveslip/allotments/"
)

// AllotmentKey returns the key of a zone's allotment.
func AllotmentKey(zone cluster.ZoneID) string { return AllotmentKeyPrefix + string(zone) }

// recordSchema is the Avro schema of a stored allotment. Machine IDs are stored once;
// candidates are indexes into them. The last field is always true, because the codec reads
// the missing end of a truncated record as zero values.
var recordSchema = avro.MustParse(`{
  "type": "record", "name": "Allotment", "namespace": "valveslip.authority", "fields": [
    {"name": "settings_revision", "type": "long"},
    {"name": "written_at", "type": "long"},
    {"name": "machines", "type": {"type": "array", "items": "string"}},
    {"name": "models", "type": {"type": "array", "items": {
      "type": "record", "name": "Model", "fields": [
        {"name": "model", "type": "string"},
        {"name": "maximum", "type": "int"},
        {"name": "ceiling", "type": "int"},
        {"name": "candidates", "type": {"type": "array", "items": "int"}}
      ]}}},
    {"name": "complete", "type": "boolean"}
  ]}`)

type storedAllotment struct {
	SettingsRevision int64         `avro:"settings_revision"`
	WrittenAt        int64         `avro:"written_at"`
	Machines         []string      `avro:"machines"`
	Models           []storedModel `avro:"models"`
	Complete         bool          `avro:"complete"`
}

type storedModel struct {
	Model      string `avro:"model"`
	Maximum    int    `avro:"maximum"`
	Ceiling    int    `avro:"ceiling"`
	Candidates []int  `avro:"candidates"`
}

// EncodeAllotment returns the stored form of a zone's allotment, without Zone and
// Revision, which follow from the key and the key-value service. Candidates that are not
// among the allotment's machines are left out.
func EncodeAllotment(allotment cluster.Allotment) []byte {
	stored := storedAllotment{
		SettingsRevision: allotment.SettingsRevision,
		WrittenAt:        allotment.WrittenAt.Unix(),
		Machines:         make([]string, len(allotment.Machines)),
		Models:           make([]storedModel, len(allotment.Models)),
		Complete:         true,
	}
	index := make(map[cluster.MachineID]int, len(allotment.Machines))
	for i, id := range allotment.Machines {
		stored.Machines[i] = string(id)
		index[id] = i
	}
	for i := range allotment.Models {
		model := &allotment.Models[i]
		stored.Models[i] = storedModel{Model: string(model.Model), Maximum: model.MaxReplicas, Ceiling: model.Ceiling}
		stored.Models[i].Candidates = make([]int, 0, len(model.Candidates))
		for _, id := range model.Candidates {
			if position, ok := index[id]; ok {
				stored.Models[i].Candidates = append(stored.Models[i].Candidates, position)
			}
		}
	}
	data, err := avro.Marshal(recordSchema, stored)
	if err != nil {
		// The schema and the type are both fixed in this file, so an error is a bug.
		panic(eris.Wrap(err, "encode allotment"))
	}
	return data
}

// DecodeAllotment parses the stored form of an allotment. It fails for a truncated record
// and for a candidate index outside the list of machines.
func DecodeAllotment(data []byte) (cluster.Allotment, error) {
	var stored storedAllotment
	if err := avro.Unmarshal(recordSchema, data, &stored); err != nil {
		return cluster.Allotment{}, eris.Wrap(err, "decode allotment")
	}
	if !stored.Complete {
		return cluster.Allotment{}, eris.New("decode allotment: the record is truncated")
	}
	allotment := cluster.Allotment{
		SettingsRevision: stored.SettingsRevision,
		WrittenAt:        time.Unix(stored.WrittenAt, 0).UTC(),
	}
	for _, id := range stored.Machines {
		allotment.Machines = append(allotment.Machines, cluster.MachineID(id))
	}
	for _, model := range stored.Models {
		entry := cluster.ModelAllotment{
			Model: cluster.ModelID(model.Model), MaxReplicas: model.Maximum, Ceiling: model.Ceiling,
		}
		for _, position := range model.Candidates {
			if position < 0 || position >= len(allotment.Machines) {
				return cluster.Allotment{}, eris.Errorf("decode allotment: model %s names machine %d of %d",
					model.Model, position, len(allotment.Machines))
			}
			entry.Candidates = append(entry.Candidates, allotment.Machines[position])
		}
		allotment.Models = append(allotment.Models, entry)
	}
	return allotment, nil
}

// AllotmentFromPair decodes the allotment in a stored pair. It returns false for the guard
// key and for other keys that are not allotments.
func AllotmentFromPair(pair keyvalue.KeyValue) (cluster.Allotment, bool, error) {
	zone, found := strings.CutPrefix(pair.Key, AllotmentKeyPrefix)
	if !found || zone == "" {
		return cluster.Allotment{}, false, nil
	}
	allotment, err := DecodeAllotment(pair.Value)
	if err != nil {
		return cluster.Allotment{}, false, eris.Wrapf(err, "read allotment of zone %s", zone)
	}
	allotment.Zone = cluster.ZoneID(zone)
	allotment.Revision = int64(pair.ModRevision)
	return allotment, true, nil
}

// AllotmentsFromPairs returns the allotments among pairs that were read at one revision,
// sorted by zone, and the revision of the guard key, zero when the guard key is absent.
func AllotmentsFromPairs(pairs []keyvalue.KeyValue) (records []cluster.Allotment, guard int64, err error) {
	for _, pair := range pairs {
		if pair.Key == AllotmentGuardKey {
			guard = int64(pair.ModRevision)
			continue
		}
		record, ok, err := AllotmentFromPair(pair)
		if err != nil {
			return nil, 0, err
		}
		if ok {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b cluster.Allotment) int { return compareStrings(a.Zone, b.Zone) })
	return records, guard, nil
}
