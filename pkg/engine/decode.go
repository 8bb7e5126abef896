package engine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// KVTransfer names blocks to export to or import from the KV store. Blocks are
// in chain order; Parent precedes the first one. Weights is the version the
// blocks were computed with: an engine that serves another answers 409.
type KVTransfer struct {
	Weights string       `json:"weights"`
	Parent  block.Hash   `json:"parent"`
	Blocks  []block.Hash `json:"blocks"`
}

// errInconsistent is returned for answers that contradict themselves.
var errInconsistent = errors.New("answer is inconsistent")

// DecodeEvents parses an answer of GET /events. It rejects batches whose
// sequence numbers do not increase, because they cannot be applied.
func DecodeEvents(data []byte) (EventBatch, error) {
	var batch EventBatch
	if err := json.Unmarshal(data, &batch); err != nil {
		return EventBatch{}, errors.Wrap(err, "cache events are not valid")
	}
	if err := batch.check(); err != nil {
		return EventBatch{}, err
	}
	return batch, nil
}

func (b *EventBatch) check() error {
	if b.Incarnation == "" {
		return errors.Wrap(errInconsistent, "cache events without incarnation")
	}
	if b.Snapshot && len(b.Events) > 0 {
		return errors.Wrap(errInconsistent, "snapshot with events")
	}
	if len(b.Parents) > 0 && len(b.Parents) != len(b.Blocks) {
		return errors.Wrapf(errInconsistent, "%d parents of %d blocks", len(b.Parents), len(b.Blocks))
	}
	last := uint64(0)
	for _, event := range b.Events {
		if event.Seq <= last || event.Seq > b.Seq {
			return errors.Wrapf(errInconsistent, "event %d after %d in a batch up to %d", event.Seq, last, b.Seq)
		}
		last = event.Seq
	}
	return nil
}

// DecodeLoad parses an answer of GET /load. It rejects negative figures.
func DecodeLoad(data []byte) (LoadReport, error) {
	var report LoadReport
	if err := json.Unmarshal(data, &report); err != nil {
		return LoadReport{}, errors.Wrap(err, "load report is not valid")
	}
	if min(report.Running, report.Waiting, report.QueuedTokens, report.CachedBlocks, report.CapacityBlock) < 0 || report.Age < 0 {
		return LoadReport{}, errors.Wrap(errInconsistent, "load report with negative figures")
	}
	if report.Incarnation == "" {
		return LoadReport{}, errors.Wrap(errInconsistent, "load report without incarnation")
	}
	return report, nil
}

// DecodeResult parses a command result.
func DecodeResult(data []byte) (CommandResult, error) {
	var result CommandResult
	if err := json.Unmarshal(data, &result); err != nil {
		return CommandResult{}, errors.Wrap(err, "command result is not valid")
	}
	return result, nil
}

// DecodeTransfer parses the answer of a KV export or import.
func DecodeTransfer(data []byte) (KVTransfer, error) {
	var kv KVTransfer
	if err := json.Unmarshal(data, &kv); err != nil {
		return KVTransfer{}, errors.Wrap(err, "KV transfer is not valid")
	}
	return kv, nil
}
