package engine

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// ReceivedCommand is a control command as it arrived.
type ReceivedCommand struct {
	engine.Command
	At       time.Time `json:"at"`
	Executed bool      `json:"executed"` // not rejected as stale
}

// Commands returns all received commands in order of execution.
func (s *Server) Commands() []ReceivedCommand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.commands)
}

// Weights returns the version served now.
func (s *Server) Weights() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held.weights
}

func (l *life) handleState(c echo.Context) error {
	return c.JSON(http.StatusOK, l.result(true, false))
}

// result describes what the engine serves.
func (l *life) result(accepted, stale bool) engine.CommandResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return engine.CommandResult{
		Accepted: accepted, Stale: stale, Weights: l.state.weights, Adapters: l.state.adapters,
		Role: l.state.role, Loading: l.loading, FencingToken: l.state.token,
	}
}

func (l *life) handleControl(c echo.Context) error {
	var cmd engine.Command
	if err := c.Bind(&cmd); err != nil {
		return err
	}
	header := c.Request().Header.Get(engine.HeaderFencingToken)
	if token, err := strconv.ParseUint(header, 10, 64); err != nil || token != cmd.FencingToken {
		return echo.NewHTTPError(http.StatusBadRequest, "fencing tokens of header and body differ")
	}
	faults := l.server.Faults.Get()
	// A command that was received is executed even if its sender goes away.
	if err := host.Sleep(l.ctx, l.scaled(faults.CommandDelay)); err != nil {
		host.Drop()
	}
	accepted := l.execute(cmd)
	if l.server.Faults.Use(func(f *Faults) *int { return &f.LoseCommands }) {
		host.Drop()
	}
	if !accepted {
		return c.JSON(http.StatusConflict, l.result(false, true))
	}
	return c.JSON(http.StatusOK, l.result(true, false))
}

// execute checks the fencing token and starts what the command asks for. It
// returns false for a stale command.
func (l *life) execute(cmd engine.Command) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	stale := l.options.ChecksFencing && cmd.FencingToken < l.state.token
	l.record(cmd, !stale)
	if stale {
		return false
	}
	l.state.token = max(l.state.token, cmd.FencingToken)
	if l.server.Faults.Use(func(f *Faults) *int { return &f.IgnoreCommands }) {
		return true
	}
	if cmd.Adapters != nil {
		l.state.adapters = slices.Clone(cmd.Adapters)
	}
	if cmd.Role != "" {
		l.state.role = cmd.Role
	}
	if cmd.Weights != "" {
		l.desired = cmd.Weights
		l.startLoading()
	}
	l.remember()
	return true
}

func (l *life) record(cmd engine.Command, executed bool) {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.commands = append(l.server.commands, ReceivedCommand{cmd, time.Now(), executed})
}

// remember keeps the state for the next incarnation. The caller holds mu.
func (l *life) remember() {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.held = l.state
}

// startLoading loads the desired weights unless they are served or a load is
// under way. The caller holds mu.
func (l *life) startLoading() {
	if l.loading || l.desired == l.state.weights || l.ctx.Err() != nil {
		return
	}
	l.loading = true
	l.ready = make(chan struct{})
	l.work.Add(1)
	go l.load(l.desired)
}

// load fetches weights and serves them; new requests wait meanwhile. A failed
// load leaves the old weights in service.
func (l *life) load(version string) {
	defer l.work.Done()
	err := l.fetch(l.ctx, version)
	if pauseErr := l.pause(l.ctx); err == nil {
		err = pauseErr
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loading = false
	close(l.ready)
	if err != nil {
		l.desired = l.state.weights
		return
	}
	l.server.count(func(t *Stats) { t.Loads++ })
	l.state.weights = version
	l.cache.clear()
	l.remember()
	l.startLoading()
}

func (l *life) fetch(ctx context.Context, version string) error {
	if l.server.store == nil {
		return host.Sleep(ctx, l.scaled(l.options.LoadTime))
	}
	_, err := l.server.store.Fetch(ctx, version, io.Discard)
	return err
}
