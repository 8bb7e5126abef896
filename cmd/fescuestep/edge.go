package main

import (
	"context"
	"flag"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/callerguard"
	"github.com/fescuestep/fescuestep/pkg/edge"
	"github.com/fescuestep/fescuestep/pkg/logging"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/metrics/collect"
	"github.com/fescuestep/fescuestep/pkg/netopt"
	"github.com/fescuestep/fescuestep/pkg/release"
	"github.com/fescuestep/fescuestep/pkg/settings"
	"github.com/fescuestep/fescuestep/platform"
)

type edgeCmd struct {
	streams
	file      string
	logLevel  string
	pprof     bool
	admission string
	replicate bool
	settings  *platform.Settings
	limits    settings.CallerLimits
}

func (*edgeCmd) Name() string            { return "edge" }
func (*edgeCmd) Synopsis() string        { return "run one instance on the users' platform" }
func (*edgeCmd) Args() (least, most int) { return 0, 0 }
func (*edgeCmd) Usage() string {
	return `edge [flags]

Runs one instance on the users' platform until SIGTERM or SIGINT and then stops
gracefully. Addresses, limits and bounds come from the platform's settings file;
configuration, upstreams and weights from its store.
`
}

func (c *edgeCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.file, "settings-file", "", "settings file that the platform fills in; default: the variable "+platform.SettingsVariable)
	fs.StringVar(&c.admission, "admission", string(edge.AdmissionAuto), "auto, on or off: requests wait or are refused when the upstreams of their service have no room: auto where upstreams state how long work takes there")
	fs.BoolVar(&c.replicate, "replicate-prefixes", false, "where requests ask for admission: copy prompt prefixes in demand to further engines before a queue builds")
	fs.StringVar(&c.logLevel, "log-level", "info", "trace, debug, info, warn or error")
	fs.BoolVar(&c.pprof, "pprof", false, "serve profiles of the process at "+edge.ProfilesPath+" on the metrics address")
	c.limits.Register(fs)
}

// Validate reads the settings file.
func (c *edgeCmd) Validate() settings.Errors {
	if c.file == "" {
		c.file = os.Getenv(platform.SettingsVariable)
	}
	if c.file == "" {
		return settings.Errors{errNoSettingsFile}
	}
	loaded, err := platform.LoadSettings(c.file)
	if err != nil {
		return settings.Errors{err}
	}
	c.settings = loaded
	wrong := c.limits.Validate()
	if !edge.AdmissionMode(c.admission).Valid() {
		wrong = append(wrong, errors.Newf("-admission is %q, want auto, on or off", c.admission))
	}
	return wrong
}

var errNoSettingsFile = errors.Newf("-settings-file or the variable %s must name the settings file", platform.SettingsVariable)

const (
	// logQueue is the number of log lines that may wait to be written.
	logQueue = 2048
	// logWait is how long the last lines may take at the end.
	logWait = 200 * time.Millisecond
	// memoryLimitShare of the instance's memory is the garbage collector's soft
	// limit; the rest is for what the collector does not see.
	memoryLimitShare = 0.7
	// mappedProgram is the memory in bytes that the collector does not see or is late for:
	// the program's own mapped pages, 26 MB on x86-64 (RssFile), and what is allocated while
	// it runs. Above about 107 MiB of memory memoryLimitShare gives the lower limit.
	mappedProgram = 32 << 20
	// minMemoryLimit keeps the collector from running all the time on tiny instances.
	minMemoryLimit = 32 << 20
	// gcPercent trades processor time, of which little is used, for memory.
	gcPercent = 40
	// storeDialTimeout bounds connections to the store and to engines.
	storeDialTimeout = time.Second
	// settingsInterval is between looks at the settings file, which may change
	// without a signal.
	settingsInterval = time.Second
)

func (c *edgeCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(collectorLimit(c.settings.MemoryLimitBytes))
	queue := logging.NewQueue(c.out, logQueue)
	defer queue.Close(logWait)
	log := newEdgeLog(c.settings.Name, c.logLevel, queue)
	m := metrics.New()
	defer func() { _ = m.Close() }()
	options := edgeOptions(c.settings, edge.AdmissionMode(c.admission))
	options.Profiles, options.ReplicatePrefixes = c.pprof, c.replicate
	options.Callers.Bytes, options.Callers.Connections = int64(c.limits.Memory), c.limits.Connections
	options.Callers.Fields, options.Callers.WriteStall = c.limits.Fields, c.limits.WriteStall
	instance, err := edge.New(options, edgeParts(c.settings, m, log))
	if err != nil {
		log.Error("cannot start", "error", err)
		return subcommands.ExitFailure
	}
	go c.watchSettings(ctx, instance, log)
	go countDropped(ctx, queue, m)
	if err := instance.Run(ctx); err != nil {
		log.Error("ended", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// collectorLimit returns the garbage collector's soft limit for a process with so much
// memory.
func collectorLimit(memory int64) int64 {
	return max(minMemoryLimit, min(int64(float64(memory)*memoryLimitShare), memory-mappedProgram))
}

// budgetMemory returns the memory of which the budgets of an instance are shares. It is less
// than its own on an instance of which the program takes a large part.
func budgetMemory(memory int64) int64 {
	left := max(minMemoryLimit, memory-mappedProgram)
	return min(memory, int64(float64(left)/memoryLimitShare))
}

func newEdgeLog(name, level string, out io.Writer) hclog.Logger {
	return logging.New(logging.Options{Name: name, Level: level, JSON: true, Output: out})
}

func edgeOptions(s *platform.Settings, admission edge.AdmissionMode) edge.Options {
	return edge.Options{
		Admission: admission,
		Name:      s.Name, Domain: s.Domain,
		CallerAddr: s.CallerAddr, ReadinessAddr: s.ReadinessAddr, ReadinessPath: platform.ReadinessPath, ControlAddr: s.ControlAddr,
		PeerAddr:      netip.AddrPortFrom(s.CallerAddr.Addr(), s.FirstPeerPort),
		Seeds:         s.Seeds,
		MemoryBytes:   budgetMemory(s.MemoryLimitBytes),
		LinkMbps:      s.LinkMbps,
		Callers:       edge.CallerOptions{Descriptors: s.MaxFileDescriptors},
		ShutdownGrace: s.Bounds.ShutdownGrace, WeightsDeadline: s.Bounds.WeightsApplyTime, StartupGrace: s.Bounds.StabilizationTime, LeaderOrderGap: s.Bounds.OrderLease,
		EnginesCheckFencing: s.EnginesCheckFencing,
		Retries:             edge.RetryBounds{Ratio: s.Bounds.RetryRatio, Window: s.Bounds.RetryWindow, Extra: s.Bounds.RetryAllowance},
		Releases: release.Bounds{
			ExposureShare: s.Bounds.ExposureShare, ExposureSlack: s.Bounds.ExposureSlack, RollbackTime: s.Bounds.RollbackTime,
		},
		InstanceTable: platform.TableInstances, QuarantineTable: platform.TableQuarantines, VersionTable: platform.TableVersions,
	}
}

func edgeParts(s *platform.Settings, m *metrics.Metrics, log hclog.Logger) edge.Dependencies {
	dial := netopt.Dialer(storeDialTimeout).DialContext
	return edge.Dependencies{
		Dialect:        platform.HeaderCodec{},
		Store:          platform.NewStore(s.StoreAddr, dial),
		Decoder:        platform.Decoder{},
		Engines:        platform.NewEngineClient(s.Name, dial),
		RequestMetrics: collect.Requests(m),
		ServiceMetrics: m,
		CountEnded:     func(r callerguard.Reason) { m.ConnectionEnded(string(r)) },
		MetricsHandler: m.Handler(),
		Log:            log,
	}
}

// countDropped shows the log lines that were dropped in the metrics until ctx
// ends.
func countDropped(ctx context.Context, queue *logging.Queue, m *metrics.Metrics) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	counted := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		dropped := queue.Dropped()
		m.LogLinesDropped(dropped - counted)
		counted = dropped
	}
}

// watchSettings follows the settings file, with or without SIGHUP, until ctx
// ends. The signal stays registered afterwards: its default would end the process
// in the middle of a graceful stop.
func (c *edgeCmd) watchSettings(ctx context.Context, instance *edge.Instance, log hclog.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
		}
		raw, err := os.ReadFile(c.file)
		if err != nil {
			log.Warn("settings file not read", "error", err)
			continue
		}
		if string(raw) == last {
			continue
		}
		reload := last != ""
		last = string(raw)
		loaded, err := platform.ParseSettings(raw)
		if err != nil {
			log.Error("settings refused, the last ones stay in force", "error", err)
			continue
		}
		instance.SetSeeds(loaded.Seeds)
		if reload {
			log.Info("settings reloaded", "seeds", loaded.Seeds)
		}
	}
}
