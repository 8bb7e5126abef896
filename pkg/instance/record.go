package instance

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/replay"
)

// recordMode keeps traces from other users: they hold customers' names and
// hashes of their prompts.
const recordMode = 0o600

// recording writes the inputs of endpoint choice to a file.
type recording struct {
	file     *os.File
	recorder *replay.Recorder
}

// openRecording returns nil for an empty path.
func openRecording(path string) (*recording, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, recordMode)
	if err != nil {
		return nil, errors.Wrap(err, "-record-file")
	}
	return &recording{file, replay.NewRecorder(file)}, nil
}

func (r *recording) close() error {
	if r == nil {
		return nil
	}
	return errors.CombineErrors(r.recorder.Close(), r.file.Close())
}
