package engine

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
	"github.com/fescuestep/fescuestep/pkg/standin/kv"
)

// handleExport writes the requested blocks that are cached to the KV store.
func (l *life) handleExport(c echo.Context) error {
	want, err := l.readTransfer(c)
	if err != nil {
		return err
	}
	done := engine.KVTransfer{Weights: want.Weights, Parent: want.Parent, Blocks: []block.Hash{}}
	for _, h := range l.cachedOf(want.Blocks) {
		if err := l.transferTime(c.Request().Context()); err != nil {
			return err
		}
		if found, err := l.kvCall(c.Request().Context(), http.MethodPut, h); err != nil || !found {
			break
		}
		done.Blocks = append(done.Blocks, h)
	}
	return c.JSON(http.StatusOK, done)
}

// handleImport reads blocks from the KV store up to the first missing one.
func (l *life) handleImport(c echo.Context) error {
	want, err := l.readTransfer(c)
	if err != nil {
		return err
	}
	done := engine.KVTransfer{Weights: want.Weights, Parent: want.Parent, Blocks: []block.Hash{}}
	for _, h := range want.Blocks {
		if err := l.transferTime(c.Request().Context()); err != nil {
			return err
		}
		if found, err := l.kvCall(c.Request().Context(), http.MethodGet, h); err != nil || !found {
			break
		}
		done.Blocks = append(done.Blocks, h)
	}
	if len(done.Blocks) > 0 && !l.insertImported(done) {
		return echo.NewHTTPError(http.StatusConflict, "weights changed during the import")
	}
	return c.JSON(http.StatusOK, done)
}

func (l *life) insertImported(done engine.KVTransfer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if done.Weights != l.state.weights {
		return false
	}
	l.cache.insert(done.Parent, done.Blocks, time.Now())
	return true
}

// readTransfer parses a transfer and checks the weights version.
func (l *life) readTransfer(c echo.Context) (engine.KVTransfer, error) {
	if l.options.KVAddr == "" {
		return engine.KVTransfer{}, echo.NewHTTPError(http.StatusNotImplemented, "engine has no KV store")
	}
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, engine.MaxReportBytes))
	if err != nil {
		return engine.KVTransfer{}, echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	want, err := engine.DecodeTransfer(data)
	if err != nil {
		return engine.KVTransfer{}, echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if want.Weights != l.state.weights {
		return engine.KVTransfer{}, echo.NewHTTPError(http.StatusConflict, "engine serves weights version "+l.state.weights)
	}
	return want, nil
}

// cachedOf returns the leading blocks that are cached.
func (l *life) cachedOf(blocks []block.Hash) []block.Hash {
	l.mu.Lock()
	defer l.mu.Unlock()
	return blocks[:l.cache.match(blocks)]
}

// transferTime waits as long as one block takes.
func (l *life) transferTime(ctx context.Context) error {
	seconds := float64(l.options.BlockTokens) / l.options.KVImportPerSec
	return host.Sleep(ctx, l.slowed(time.Duration(seconds*float64(time.Second))))
}

// kvCall asks the KV store for one block and reports whether it has it.
func (l *life) kvCall(ctx context.Context, method string, h block.Hash) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+l.options.KVAddr+kv.Path(h), nil)
	if err != nil {
		return false, err
	}
	resp, err := l.server.client.Do(req)
	if err != nil {
		return false, err
	}
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNoContent:
		return true, nil
	case http.StatusNotFound:
		return false, nil
	}
	return false, errors.Newf("KV store answered %d", resp.StatusCode)
}
