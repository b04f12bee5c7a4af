package wire

import (
	"embed"
	"fmt"
	"sync"

	"github.com/hamba/avro/v2"
	"github.com/rotisserie/eris"
)

// Versions of the schemas. A node reads and writes every version from VersionOldest to
// VersionCurrent, so that builds of different versions work together while machines are
// replaced and after a rollback. A message is written in the version that its receiver is
// known to read. A kind of message that this version lacks is not sent.
//
// To change a message, copy schemas/vN.avsc to the next number, increment VersionCurrent, give
// every new field a default, and commit the golden messages of the previous version.
const (
	VersionCurrent  = 13
	VersionPrevious = VersionCurrent - 1
	VersionOldest   = 4
)

// Size limits of the codec, in bytes.
const (
	// MaxMessageBytes bounds the size of an encoded message.
	MaxMessageBytes = 8 << 20
	// maxSliceBytes bounds the memory of one decoded array.
	maxSliceBytes = 16 << 20
)

// Errors that the errors of the codec wrap.
var (
	// ErrTooLarge says that a message exceeds MaxMessageBytes.
	ErrTooLarge = eris.New("message exceeds the size limit")
	// ErrVersion says that the schema version is not supported or lacks the kind of message.
	ErrVersion = eris.New("schema version is not supported")
	// ErrUnknownKind says that the kind of message is not known to this build.
	ErrUnknownKind = eris.New("unknown kind of message")
	// ErrMalformed says that a message is not encoded by its schema.
	ErrMalformed = eris.New("malformed message")
)

// Kind identifies the type of a message on the wire. The number of a removed type is not reused.
type Kind int32

// The kinds of messages.
const (
	KindHeartbeat Kind = iota + 1
	KindConfigurationRequest
	KindConfigurationEntries
	KindConfigurationSnapshot
	KindDemand
	KindCellStatus
	KindCellStatusRequest
	KindZoneReport
	KindInspectionRequest
	KindInspectionAnswer
	KindKeyClaim
	KindKeyDecision
	KindKeyOutcome
	KindKeyQuestion
	KindKeyAnswer
	KindKeptAnswerRequest
	KindKeptAnswer
	KindSentPrefixes
	KindCacheMoved
	KindKeyHandover
	KindKeyHandoverAnswer
	KindKeyHeir
	KindStoreChanges
	KindStoreChangesRequest
	KindPoisonReport
	KindClockTold
	KindLenderClaim
	KindLenderVote
	KindTokensRequest
	KindTokensAnswer
	KindEngineRequest
	KindEngineAnswer
	KindEngineNews
	KindStoreSnapshotRequest
	KindStoreSnapshot
	KindMachineLimit
	KindTurnRequest
	KindTurnAnswer
	KindTurnReturned
	KindStreamOrigins
	KindStreamOriginsReceived
	KindStreamOriginRequest
	KindStreamOriginAnswer
	KindPartReport
	KindUnstoredStateRequest
	KindUnstoredState
)

// kindLayout holds the schema name of a kind and the constructor of its record.
type kindLayout struct {
	name      string
	newRecord func() record
}

var layouts = map[Kind]kindLayout{
	KindHeartbeat:             {"Heartbeat", func() record { return new(heartbeatRecord) }},
	KindConfigurationRequest:  {"ConfigurationRequest", func() record { return new(configurationRequestRecord) }},
	KindConfigurationEntries:  {"ConfigurationEntries", func() record { return new(configurationEntriesRecord) }},
	KindConfigurationSnapshot: {"ConfigurationSnapshot", func() record { return new(configurationSnapshotRecord) }},
	KindDemand:                {"Demand", func() record { return new(demandRecord) }},
	KindCellStatus:            {"CellStatus", func() record { return new(cellStatusRecord) }},
	KindCellStatusRequest:     {"CellStatusRequest", func() record { return new(cellStatusRequestRecord) }},
	KindZoneReport:            {"ZoneReport", func() record { return new(zoneReportRecord) }},
	KindInspectionRequest:     {"InspectionRequest", func() record { return new(inspectionRequestRecord) }},
	KindInspectionAnswer:      {"InspectionAnswer", func() record { return new(inspectionAnswerRecord) }},
	KindKeyClaim:              {"KeyClaim", func() record { return new(keyClaimRecord) }},
	KindKeyDecision:           {"KeyDecision", func() record { return new(keyDecisionRecord) }},
	KindKeyOutcome:            {"KeyOutcome", func() record { return new(keyOutcomeRecord) }},
	KindKeyQuestion:           {"KeyQuestion", func() record { return new(keyQuestionRecord) }},
	KindKeyAnswer:             {"KeyAnswer", func() record { return new(keyAnswerRecord) }},
	KindKeptAnswerRequest:     {"KeptAnswerRequest", func() record { return new(keptAnswerRequestRecord) }},
	KindKeptAnswer:            {"KeptAnswer", func() record { return new(keptAnswerRecord) }},
	KindSentPrefixes:          {"SentPrefixes", func() record { return new(sentPrefixesRecord) }},
	KindCacheMoved:            {"CacheMoved", func() record { return new(cacheMovedRecord) }},
	KindKeyHandover:           {"KeyHandover", func() record { return new(keyHandoverRecord) }},
	KindKeyHandoverAnswer:     {"KeyHandoverAnswer", func() record { return new(keyHandoverAnswerRecord) }},
	KindKeyHeir:               {"KeyHeir", func() record { return new(keyHeirRecord) }},
	KindStoreChanges:          {"StoreChanges", func() record { return new(storeChangesRecord) }},
	KindStoreChangesRequest:   {"StoreChangesRequest", func() record { return new(storeChangesRequestRecord) }},
	KindPoisonReport:          {"PoisonReport", func() record { return new(poisonReportRecord) }},
	KindClockTold:             {"ClockTold", func() record { return new(clockToldRecord) }},
	KindLenderClaim:           {"LenderClaim", func() record { return new(lenderClaimRecord) }},
	KindLenderVote:            {"LenderVote", func() record { return new(lenderVoteRecord) }},
	KindTokensRequest:         {"TokensRequest", func() record { return new(tokensRequestRecord) }},
	KindTokensAnswer:          {"TokensAnswer", func() record { return new(tokensAnswerRecord) }},
	KindEngineRequest:         {"EngineRequest", func() record { return new(engineRequestRecord) }},
	KindEngineAnswer:          {"EngineAnswer", func() record { return new(engineAnswerRecord) }},
	KindEngineNews:            {"EngineNews", func() record { return new(engineNewsRecord) }},
	KindStoreSnapshotRequest:  {"StoreSnapshotRequest", func() record { return new(storeSnapshotRequestRecord) }},
	KindStoreSnapshot:         {"StoreSnapshot", func() record { return new(storeSnapshotRecord) }},
	KindMachineLimit:          {"MachineLimit", func() record { return new(machineLimitRecord) }},
	KindTurnRequest:           {"TurnRequest", func() record { return new(turnRequestRecord) }},
	KindTurnAnswer:            {"TurnAnswer", func() record { return new(turnAnswerRecord) }},
	KindTurnReturned:          {"TurnReturned", func() record { return new(turnReturnedRecord) }},
	KindStreamOrigins:         {"StreamOrigins", func() record { return new(streamOriginsRecord) }},
	KindStreamOriginsReceived: {"StreamOriginsReceived", func() record { return new(streamOriginsReceivedRecord) }},
	KindStreamOriginRequest:   {"StreamOriginRequest", func() record { return new(streamOriginRequestRecord) }},
	KindPartReport:            {"PartReport", func() record { return new(partReportRecord) }},
	KindStreamOriginAnswer:    {"StreamOriginAnswer", func() record { return new(streamOriginAnswerRecord) }},
	KindUnstoredStateRequest:  {"UnstoredStateRequest", func() record { return new(unstoredStateRequestRecord) }},
	KindUnstoredState:         {"UnstoredState", func() record { return new(unstoredStateRecord) }},
}

// toRecord returns the kind of a message and its record for the codec.
func toRecord(message Message) (Kind, record, error) {
	switch m := message.(type) {
	case Heartbeat:
		return KindHeartbeat, heartbeatToRecord(m), nil
	case ConfigurationRequest:
		return KindConfigurationRequest, configurationRequestToRecord(m), nil
	case ConfigurationEntries:
		return KindConfigurationEntries, configurationEntriesToRecord(m), nil
	case ConfigurationSnapshot:
		return KindConfigurationSnapshot, configurationSnapshotToRecord(m), nil
	case Demand:
		return KindDemand, demandToRecord(m), nil
	case CellStatus:
		return KindCellStatus, cellStatusToRecord(m), nil
	case CellStatusRequest:
		return KindCellStatusRequest, cellStatusRequestToRecord(m), nil
	case ZoneReport:
		return KindZoneReport, zoneReportToRecord(m), nil
	case InspectionRequest:
		return KindInspectionRequest, inspectionRequestToRecord(m), nil
	case InspectionAnswer:
		return KindInspectionAnswer, inspectionAnswerToRecord(m), nil
	case KeyClaim:
		return KindKeyClaim, keyClaimToRecord(m), nil
	case KeyDecision:
		return KindKeyDecision, keyDecisionToRecord(m), nil
	case KeyOutcome:
		rec := keyOutcomeRecord(m)
		return KindKeyOutcome, &rec, nil
	case KeyQuestion:
		return KindKeyQuestion, keyQuestionToRecord(m), nil
	case KeyAnswer:
		return KindKeyAnswer, keyAnswerToRecord(m), nil
	case KeptAnswerRequest:
		return KindKeptAnswerRequest, keptAnswerRequestToRecord(m), nil
	case KeptAnswer:
		return KindKeptAnswer, keptAnswerToRecord(m), nil
	case SentPrefixes:
		return KindSentPrefixes, sentPrefixesToRecord(m), nil
	case CacheMoved:
		rec := cacheMovedRecord(m)
		return KindCacheMoved, &rec, nil
	case KeyHandover:
		return KindKeyHandover, keyHandoverToRecord(m), nil
	case KeyHandoverAnswer:
		return KindKeyHandoverAnswer, &keyHandoverAnswerRecord{m.From, int64(m.Number), m.Taken}, nil
	case KeyHeir:
		rec := keyHeirRecord(m)
		return KindKeyHeir, &rec, nil
	case StoreChanges:
		rec := storeChangesRecord(m)
		return KindStoreChanges, &rec, nil
	case StoreChangesRequest:
		rec := storeChangesRequestRecord(m)
		return KindStoreChangesRequest, &rec, nil
	case PoisonReport:
		return KindPoisonReport, poisonReportToRecord(m), nil
	case PartReport:
		return KindPartReport, partReportToRecord(m), nil
	case ClockTold:
		rec := clockToldRecord(m)
		return KindClockTold, &rec, nil
	case LenderClaim:
		rec := lenderClaimRecord(m)
		return KindLenderClaim, &rec, nil
	case LenderVote:
		rec := lenderVoteRecord(m)
		return KindLenderVote, &rec, nil
	case TokensRequest:
		rec := tokensRequestRecord(m)
		return KindTokensRequest, &rec, nil
	case TokensAnswer:
		rec := tokensAnswerRecord(m)
		return KindTokensAnswer, &rec, nil
	case EngineRequest:
		return KindEngineRequest, engineRequestToRecord(m), nil
	case EngineAnswer:
		rec := engineAnswerRecord(m)
		return KindEngineAnswer, &rec, nil
	case EngineNews:
		return KindEngineNews, engineNewsToRecord(m), nil
	case StoreSnapshotRequest:
		rec := storeSnapshotRequestRecord(m)
		return KindStoreSnapshotRequest, &rec, nil
	case StoreSnapshot:
		rec := storeSnapshotRecord(m)
		return KindStoreSnapshot, &rec, nil
	case MachineLimit:
		rec := machineLimitRecord(m)
		return KindMachineLimit, &rec, nil
	case TurnRequest:
		rec := turnRequestRecord(m)
		return KindTurnRequest, &rec, nil
	case TurnAnswer:
		rec := turnAnswerRecord(m)
		return KindTurnAnswer, &rec, nil
	case TurnReturned:
		rec := turnReturnedRecord(m)
		return KindTurnReturned, &rec, nil
	case StreamOrigins:
		return KindStreamOrigins, streamOriginsToRecord(m), nil
	case StreamOriginsReceived:
		rec := streamOriginsReceivedRecord(m)
		return KindStreamOriginsReceived, &rec, nil
	case StreamOriginRequest:
		rec := streamOriginRequestRecord(m)
		return KindStreamOriginRequest, &rec, nil
	case StreamOriginAnswer:
		rec := streamOriginAnswerRecord(m)
		return KindStreamOriginAnswer, &rec, nil
	case UnstoredStateRequest:
		rec := unstoredStateRequestRecord(m)
		return KindUnstoredStateRequest, &rec, nil
	case UnstoredState:
		rec := unstoredStateRecord(m)
		return KindUnstoredState, &rec, nil
	default:
		return 0, nil, eris.Wrapf(ErrUnknownKind, "cannot encode %T", message)
	}
}

// envelope and batch are the records of schemas/envelope.avsc.
type envelope struct {
	Version int32
	Kind    int32
	Payload []byte
}

type batch struct{ Envelopes [][]byte }

//go:embed schemas/*.avsc
var schemaFiles embed.FS

var (
	codec = avro.Config{
		MaxByteSliceSize:       MaxMessageBytes,
		MaxSliceAllocSize:      maxSliceBytes,
		DisableBlockSizeHeader: true,
	}.Freeze()
	envelopeSchema, batchSchema = parseEnvelope()
	// schemas holds the schemas of each version, indexed by version - VersionOldest. The
	// schemas of a version are parsed when its first message is sent or received: this
	// shortens the start of a process to a fifth, and few nodes ever communicate with an
	// earlier build.
	schemas = lazySchemas()
)

// schemaPair holds the schema by which a version writes a kind of message, and the schema that
// reads such a message into the current record.
type schemaPair struct{ write, read avro.Schema }

// mustReadTypes parses a schema file and returns its named types. It panics on an error, since
// the files are part of the program.
func mustReadTypes(file string) map[string]avro.Schema {
	data, err := schemaFiles.ReadFile("schemas/" + file)
	if err != nil {
		panic(err)
	}
	parsed, err := avro.ParseBytesWithCache(data, "", &avro.SchemaCache{})
	if err != nil {
		panic(err)
	}
	union, ok := parsed.(*avro.UnionSchema)
	if !ok {
		panic("wire: " + file + " does not list types")
	}
	types := make(map[string]avro.Schema)
	for _, schema := range union.Types() {
		types[schema.(avro.NamedSchema).Name()] = schema
	}
	return types
}

func parseEnvelope() (avro.Schema, avro.Schema) {
	types := mustReadTypes("envelope.avsc")
	return types["Envelope"], types["Batch"]
}

// kindSchemas holds the schemas of one version.
type kindSchemas map[Kind]schemaPair

// lazySchemas returns, for each version, a function that parses its schemas on the first call.
func lazySchemas() [VersionCurrent - VersionOldest + 1]func() kindSchemas {
	current := sync.OnceValue(func() map[string]avro.Schema { return mustReadTypes(schemaFile(VersionCurrent)) })
	var all [VersionCurrent - VersionOldest + 1]func() kindSchemas
	for version := int32(VersionOldest); version <= VersionCurrent; version++ {
		all[version-VersionOldest] = sync.OnceValue(func() kindSchemas { return parseSchemas(version, current()) })
	}
	return all
}

// schemasOf returns the schemas of a version, nil if the version is not supported.
func schemasOf(version int32) kindSchemas {
	if version < VersionOldest || version > VersionCurrent {
		return nil
	}
	return schemas[version-VersionOldest]()
}

// schemaFile returns the name of the file with a version's schemas.
func schemaFile(version int32) string { return fmt.Sprintf("v%d.avsc", version) }

// parseSchemas parses the schemas of all kinds of a version.
func parseSchemas(version int32, current map[string]avro.Schema) kindSchemas {
	pairs := make(kindSchemas, len(layouts))
	if version == VersionCurrent {
		for kind, layout := range layouts {
			pairs[kind] = schemaPair{write: current[layout.name], read: current[layout.name]}
		}
		return pairs
	}
	earlier := mustReadTypes(schemaFile(version))
	compatibility := avro.NewSchemaCompatibility()
	for kind, layout := range layouts {
		writer, exists := earlier[layout.name]
		if !exists {
			continue
		}
		reader, err := compatibility.Resolve(current[layout.name], writer)
		if err != nil {
			panic(fmt.Sprintf("wire: %s cannot read its version %d: %v", layout.name, version, err))
		}
		pairs[kind] = schemaPair{write: writer, read: reader}
	}
	return pairs
}

// Encode encodes message in the current version. It fails with ErrUnknownKind for a type without
// a kind and with ErrTooLarge.
func Encode(message Message) ([]byte, error) { return EncodeVersion(message, VersionCurrent) }

// EncodeVersion encodes message in the given version of the schemas. It leaves out fields that
// the version lacks. It fails with ErrVersion for a kind that the version lacks and for a version
// that is not between VersionOldest and VersionCurrent.
func EncodeVersion(message Message, version int32) ([]byte, error) {
	kind, rec, err := toRecord(message)
	if err != nil {
		return nil, err
	}
	pair, ok := schemasOf(version)[kind]
	if !ok {
		return nil, eris.Wrapf(ErrVersion, "cannot write kind %d in version %d", kind, version)
	}
	payload, err := codec.Marshal(pair.write, rec)
	if err != nil {
		return nil, eris.Wrapf(err, "encode %T", message)
	}
	if len(payload) > MaxMessageBytes {
		return nil, eris.Wrapf(ErrTooLarge, "%T takes %d bytes", message, len(payload))
	}
	return codec.Marshal(envelopeSchema, envelope{Version: version, Kind: int32(kind), Payload: payload})
}

// Decode decodes a message encoded by Encode or EncodeVersion. It fails with ErrVersion,
// ErrUnknownKind, ErrTooLarge or ErrMalformed.
func Decode(data []byte) (Message, error) { return decode(data, VersionCurrent) }

// decode is like Decode but refuses versions after newestVersion.
func decode(data []byte, newestVersion int32) (Message, error) {
	if len(data) > MaxMessageBytes+maxEnvelopeBytes {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	var header envelope
	if err := unmarshal(envelopeSchema, data, &header); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "envelope: %v", err)
	}
	if header.Version > newestVersion || header.Version < VersionOldest {
		return nil, eris.Wrapf(ErrVersion, "version %d", header.Version)
	}
	kind := Kind(header.Kind)
	pair, ok := schemasOf(header.Version)[kind]
	if !ok {
		return nil, eris.Wrapf(ErrUnknownKind, "kind %d", kind)
	}
	rec := layouts[kind].newRecord()
	if err := unmarshal(pair.read, header.Payload, rec); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%s: %v", layouts[kind].name, err)
	}
	return rec.toMessage(), nil
}

// unmarshal reads value from data. Unlike the library's function of that name it returns an error
// if data is truncated.
func unmarshal(schema avro.Schema, data []byte, value any) error {
	reader := avro.NewReader(nil, 0, avro.WithReaderConfig(codec))
	reader.Reset(data)
	reader.ReadVal(schema, value)
	return reader.Error
}

// maxEnvelopeBytes bounds the bytes that an envelope adds to its payload.
const maxEnvelopeBytes = 32
