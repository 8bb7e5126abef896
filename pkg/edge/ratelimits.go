package edge

import (
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/upstreamrate"
)

// logRateLimit logs that an upstream names another limit than before, or none.
func logRateLimit(log hclog.Logger, s upstreamrate.Statement) {
	if !s.Limited {
		log.Info("upstream names no limit any more", "upstream", s.Process.ID)
		return
	}
	log.Info("upstream names a limit", "upstream", s.Process.ID, "requests_per_second", s.PerSecond)
}
