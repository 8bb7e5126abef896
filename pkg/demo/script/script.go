// Package script runs the steps of a demonstration and prints an account.
package script

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Step is one thing that a demonstration D shows. Run returns a line with
// figures.
type Step[D any] struct {
	Name string
	Run  func(D, context.Context) (string, error)
}

// ErrFailed is returned by Run when an outcome did not hold.
var ErrFailed = errors.New("an outcome of the demo did not hold")

// Run makes all steps and prints an account of them.
func Run[D any](ctx context.Context, out io.Writer, d D, steps []Step[D]) error {
	var failed error
	for i, s := range steps {
		started := time.Now()
		detail, err := s.Run(d, ctx)
		mark := "ok  "
		if err != nil {
			mark, detail, failed = "FAIL", err.Error(), ErrFailed
		}
		fmt.Fprintf(out, "%s %d. %s (%v)\n       %s\n", mark, i+1, s.Name, time.Since(started).Round(time.Millisecond), detail)
	}
	return failed
}
