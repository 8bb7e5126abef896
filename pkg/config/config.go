// Package config holds the dynamic configuration as immutable snapshots and
// the typed changes that lead from one revision to the next.
package config

import (
	"encoding/hex"
	"time"

	"crypto/sha256"
)

// Priority says which measure endpoint choice favours.
type Priority string

// Priorities of a deployment.
const (
	TailLatency Priority = "tail_latency"
	CacheReuse  Priority = "cache_reuse"
)

// WhenUnconfirmed says what an instance does with keyed requests while it
// cannot confirm that its keys and configuration are current.
type WhenUnconfirmed string

// Answers for WhenUnconfirmed.
const (
	Refuse         WhenUnconfirmed = "refuse"
	ServeLastKnown WhenUnconfirmed = "serve_last_known"
)

// Deployment is the configuration generated from one questionnaire.
type Deployment struct {
	Name         string        `json:"name"`
	Region       string        `json:"region"`
	Domains      []string      `json:"domains"`       // failure domains
	OneWayDelay  time.Duration `json:"one_way_delay"` // between two failure domains, ns
	Priority     Priority      `json:"priority"`
	Customers    []Customer    `json:"customers"`
	Applications []Application `json:"applications"`
	Pools        []Pool        `json:"pools"`
}

// Customer is one organisation. Teams of a customer share its rate and cache scope.
type Customer struct {
	ID              string          `json:"id"`
	Name            string          `json:"name"`
	Teams           []string        `json:"teams"`
	RatePerSecond   float64         `json:"rate_per_second"` // tokens per second over all instances
	Burst           float64         `json:"burst"`           // tokens
	Weight          float64         `json:"weight"`          // share of upstream slots under contention, default 1
	CacheScope      string          `json:"cache_scope"`
	Class           string          `json:"class"` // label of histograms, for example counter or batch
	WhenUnconfirmed WhenUnconfirmed `json:"when_unconfirmed"`
	Applications    []string        `json:"applications"` // IDs of applications it may use
}

// MayUse reports whether the customer may use the application.
func (c *Customer) MayUse(application string) bool {
	for _, id := range c.Applications {
		if id == application {
			return true
		}
	}
	return false
}

// Kind distinguishes model applications from plain services.
type Kind string

// Kinds of applications and pools.
const (
	Model   Kind = "model"
	Service Kind = "service"
	KV      Kind = "kv"
)

// Application is something callers reach: a model by its name or a plain
// service below /<ID>/.
type Application struct {
	ID       string        `json:"id"`
	Kind     Kind          `json:"kind"`
	Pool     string        `json:"pool"`
	Model    string        `json:"model,omitempty"`
	Adapter  string        `json:"adapter,omitempty"`
	Timeout  time.Duration `json:"timeout"`  // whole request, ns
	Priority int           `json:"priority"` // passed to engines, lower is more urgent
	Routes   []Route       `json:"routes,omitempty"`
}

// Route is one call of a plain service.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"` // prefix below /<application>
	Open       bool   `json:"open"` // needs no key
	Idempotent bool   `json:"idempotent"`
	// OrderHeader and OrderField name where the order number stands when the
	// call is not idempotent. The header Idempotency-Key always counts.
	OrderHeader string `json:"order_header,omitempty"`
	OrderField  string `json:"order_field,omitempty"`
	OrderSpace  string `json:"order_space,omitempty"` // key space, shared by applications that send the same orders
}

// Pool is a set of upstreams of one kind. Its members come from the
// platform's list.
type Pool struct {
	Name           string  `json:"name"`
	Kind           Kind    `json:"kind"`
	Weights        string  `json:"weights,omitempty"` // wanted weights version
	ChecksFencing  bool    `json:"checks_fencing"`
	MaxInFlight    int     `json:"max_in_flight"`     // slots per upstream
	BlockTokens    int     `json:"block_tokens"`      // tokens per cached block
	PrefillPerSec  float64 `json:"prefill_per_sec"`   // tokens per second and engine
	KVPool         string  `json:"kv_pool,omitempty"` // store that engines import from
	KVImportPerSec float64 `json:"kv_import_per_sec,omitempty"`
}

// Key is a caller's key. Only the digest of the secret is kept.
type Key struct {
	ID       string    `json:"id"`
	Digest   Digest    `json:"digest"`
	Customer string    `json:"customer"`
	Team     string    `json:"team,omitempty"`
	Created  time.Time `json:"created"`
	Revoked  bool      `json:"revoked"`
}

// Digest is the SHA-256 digest of a key's secret.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a secret.
func DigestOf(secret string) Digest { return sha256.Sum256([]byte(secret)) }

// MarshalText implements encoding.TextMarshaler as hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	_, err := hex.Decode(d[:], text)
	return err
}

// Member is one router instance in the membership record. Incarnation is
// random per process start.
type Member struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	PeerAddr    string `json:"peer_addr"` // IP:port of its peer listener
	Domain      string `json:"domain"`
	Leaving     bool   `json:"leaving,omitempty"`
}
