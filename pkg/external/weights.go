package external

import (
	"context"
	"io"
)

// WeightStore holds weight versions. It limits the total transfer rate.
type WeightStore interface {
	// Versions lists the stored versions in order.
	Versions(ctx context.Context) ([]string, error)
	// Fetch copies a version to dst and returns the number of bytes.
	Fetch(ctx context.Context, version string, dst io.Writer) (int64, error)
}
