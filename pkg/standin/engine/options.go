// Package engine stands in for a model engine: continuous batching, a prefix
// cache with eviction, cache events, load reports and control commands.
package engine

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// Defaults of Options. The times are rough figures of a mid-size model on one
// accelerator; only their ratios matter to tests.
const (
	DefaultBlockTokens    = 2000
	DefaultCapacityBlocks = 96
	DefaultBlockLifetime  = 5 * time.Second
	DefaultPrefillPerSec  = 20_000
	DefaultKVImportPerSec = 100_000
	DefaultTokenTime      = 8 * time.Millisecond
	DefaultTokenTimeEach  = 500 * time.Microsecond
	DefaultMaxRunning     = 32
	DefaultReportInterval = 100 * time.Millisecond
	DefaultEventLag       = 50 * time.Millisecond
	DefaultEventRetain    = 4096
	DefaultResumeWindow   = 2 * time.Second
	DefaultLoadTime       = 300 * time.Millisecond
)

// Options configure an engine. Zero values take the defaults; times are
// unscaled.
type Options struct {
	ID      string
	Model   string // empty: any model is served
	Weights string // version served at first
	Role    string // prefill, decode or both
	Scale   host.Scale

	BlockTokens    int
	CapacityBlocks int
	BlockLifetime  time.Duration // after which an unused block is evicted
	PrefillPerSec  float64       // uncached prompt tokens per second
	TokenTime      time.Duration // between two tokens of a single stream
	TokenTimeEach  time.Duration // added for each further stream in the batch
	MaxRunning     int           // batch size; further requests wait
	ReportInterval time.Duration // between two samples of the load
	EventLag       time.Duration // between a cache change and its event
	EventRetain    int           // events kept; older positions get a snapshot
	ResumeWindow   time.Duration // how long a broken stream can be resumed

	ChecksFencing  bool          // reject commands with a stale fencing token
	LoadTime       time.Duration // of weights, when WeightsAddr is empty
	WeightsAddr    string        // weight store (IP:port)
	KVAddr         string        // KV store (IP:port)
	KVImportPerSec float64       // tokens per second
}

func (o Options) withDefaults() Options {
	setDefault(&o.BlockTokens, DefaultBlockTokens)
	setDefault(&o.CapacityBlocks, DefaultCapacityBlocks)
	setDefault(&o.BlockLifetime, DefaultBlockLifetime)
	setDefault(&o.PrefillPerSec, DefaultPrefillPerSec)
	setDefault(&o.KVImportPerSec, DefaultKVImportPerSec)
	setDefault(&o.TokenTime, DefaultTokenTime)
	setDefault(&o.TokenTimeEach, DefaultTokenTimeEach)
	setDefault(&o.MaxRunning, DefaultMaxRunning)
	setDefault(&o.ReportInterval, DefaultReportInterval)
	setDefault(&o.EventLag, DefaultEventLag)
	setDefault(&o.EventRetain, DefaultEventRetain)
	setDefault(&o.ResumeWindow, DefaultResumeWindow)
	setDefault(&o.LoadTime, DefaultLoadTime)
	setDefault(&o.Role, "both")
	setDefault(&o.Weights, "1")
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Faults are switched at run time. Counts apply to that many requests or
// events; -1 means all. Durations are nanoseconds in JSON.
type Faults struct {
	Frozen      bool          `json:"frozen"`       // nothing proceeds, connections stay open
	Refuse      int           `json:"refuse"`       // answer completions with 503
	AnswerDelay time.Duration `json:"answer_delay"` // hold completions back after prefill
	CrossAnswer int           `json:"cross_answer"` // answer with the request ID and text of the request before
	SlowFactor  float64       `json:"slow_factor"`  // multiplies prefill and token times; 0 means 1

	BreakStreams int  `json:"break_streams"` // streams to break after BreakAfter events
	BreakAfter   int  `json:"break_after"`
	BreakClean   bool `json:"break_clean"` // end the response regularly, without end marker

	CrashAfterEvents int           `json:"crash_after_events"` // crash when that many more stream events were sent
	CrashNow         bool          `json:"crash_now"`
	RestartAfter     time.Duration `json:"restart_after"` // after a crash; 0: stay down

	DropEvents     int           `json:"drop_events"`     // cache events to lose
	EventLag       time.Duration `json:"event_lag"`       // in addition to the configured lag
	EventsDown     bool          `json:"events_down"`     // GET /events answers 503
	ReportLag      time.Duration `json:"report_lag"`      // in addition to the interval
	CommandDelay   time.Duration `json:"command_delay"`   // before a command is executed
	LoseCommands   int           `json:"lose_commands"`   // execute commands and lose their answers
	IgnoreCommands int           `json:"ignore_commands"` // accept commands without executing them
	NoResume       bool          `json:"no_resume"`       // refuse to resume streams
}

// Stats count what an engine did, over all incarnations.
type Stats struct {
	Requests        int `json:"requests"`
	Completed       int `json:"completed"`
	Cancelled       int `json:"cancelled"`
	Resumed         int `json:"resumed"`
	AfterLeaving    int `json:"after_leaving"` // requests that arrived after Leave
	Leaks           int `json:"leaks"`         // requests that carried a caller's credentials
	PromptTokens    int `json:"prompt_tokens"`
	CachedTokens    int `json:"cached_tokens"`
	PrefilledTokens int `json:"prefilled_tokens"`
	OutputTokens    int `json:"output_tokens"`
	Evicted         int `json:"evicted"` // blocks
	Loads           int `json:"loads"`   // of weights
	Crashes         int `json:"crashes"`
}
