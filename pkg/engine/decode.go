package engine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// KVTransfer lists blocks to export to or import from the KV store. Blocks are
// in chain order; Parent is the hash before the first one. Weights is the
// version that the blocks were computed with; an engine that serves another
// version responds with 409.
type KVTransfer struct {
	Weights string       `json:"weights"`
	Parent  block.Hash   `json:"parent"`
	Blocks  []block.Hash `json:"blocks"`
}

// errInconsistentResponse is returned for responses whose fields contradict
// each other or have impossible values.
var errInconsistentResponse = errors.New("response is inconsistent")

// DecodeEvents parses a response to GET /events. It rejects batches whose
// sequence numbers do not increase, because they cannot be applied.
func DecodeEvents(data []byte) (EventBatch, error) {
	var batch EventBatch
	if err := json.Unmarshal(data, &batch); err != nil {
		return EventBatch{}, errors.Wrap(err, "decode event batch")
	}
	if err := batch.validate(); err != nil {
		return EventBatch{}, err
	}
	return batch, nil
}

func (b *EventBatch) validate() error {
	if b.Incarnation == "" {
		return errors.Wrap(errInconsistentResponse, "event batch has no incarnation")
	}
	if b.Snapshot && len(b.Events) > 0 {
		return errors.Wrap(errInconsistentResponse, "event batch has both a snapshot and events")
	}
	if len(b.Parents) > 0 && len(b.Parents) != len(b.Blocks) {
		return errors.Wrapf(errInconsistentResponse, "event batch has %d parents for %d blocks", len(b.Parents), len(b.Blocks))
	}
	last := uint64(0)
	for _, event := range b.Events {
		if event.Seq <= last || event.Seq > b.Seq {
			return errors.Wrapf(errInconsistentResponse, "event %d follows event %d in a batch that ends at %d", event.Seq, last, b.Seq)
		}
		last = event.Seq
	}
	return nil
}

// DecodeLoad parses a response to GET /load. It rejects negative values and a
// missing incarnation.
func DecodeLoad(data []byte) (LoadReport, error) {
	var report LoadReport
	if err := json.Unmarshal(data, &report); err != nil {
		return LoadReport{}, errors.Wrap(err, "decode load report")
	}
	if min(report.Running, report.Waiting, report.QueuedTokens, report.CachedBlocks, report.CapacityBlocks) < 0 || report.Age < 0 {
		return LoadReport{}, errors.Wrap(errInconsistentResponse, "load report has a negative value")
	}
	if report.Incarnation == "" {
		return LoadReport{}, errors.Wrap(errInconsistentResponse, "load report has no incarnation")
	}
	return report, nil
}

// DecodeResult parses a response to GET or POST /control.
func DecodeResult(data []byte) (CommandResult, error) {
	var result CommandResult
	if err := json.Unmarshal(data, &result); err != nil {
		return CommandResult{}, errors.Wrap(err, "decode command result")
	}
	return result, nil
}

// DecodeTransfer parses a response to POST /kv/export or /kv/import.
func DecodeTransfer(data []byte) (KVTransfer, error) {
	var kv KVTransfer
	if err := json.Unmarshal(data, &kv); err != nil {
		return KVTransfer{}, errors.Wrap(err, "decode KV transfer")
	}
	return kv, nil
}
