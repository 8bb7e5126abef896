// Package questionnaire reads the YAML questionnaire in which operators
// describe a deployment, reports all mistakes in it and generates the
// configuration from the answers.
package questionnaire

import "time"

// Questionnaire is the whole set of answers for one deployment. The yaml tags
// are the field names that docs/configuration.md documents.
type Questionnaire struct {
	Deployment     string        `yaml:"deployment" validate:"required,name"`
	Region         string        `yaml:"region" validate:"required,name"`
	FailureDomains []string      `yaml:"failure_domains" validate:"required,min=1,max=32,dive,required,name"`
	OneWayDelay    time.Duration `yaml:"one_way_delay" validate:"min=0,max=1s"`
	Priority       string        `yaml:"priority" validate:"required,oneof=tail_latency cache_reuse"`
	OrderSpaces    []string      `yaml:"order_spaces" validate:"max=256,dive,required,name"`
	SharedCaches   []SharedCache `yaml:"shared_caches" validate:"max=2000,dive"`
	Customers      []Customer    `yaml:"customers" validate:"required,min=1,max=2000,dive"`
	Applications   []Application `yaml:"applications" validate:"required,min=1,max=500,dive"`
	Pools          []Pool        `yaml:"pools" validate:"required,min=1,max=200,dive"`
}

// SharedCache names customers that agreed to reuse each other's cached
// prompts. A customer that stands in none has a cache scope of its own.
type SharedCache struct {
	Name      string   `yaml:"name" validate:"required,name"`
	Customers []string `yaml:"customers" validate:"required,min=2,dive,required"`
}

// Customer is one organisation and its share of the deployment.
type Customer struct {
	ID              string   `yaml:"id" validate:"required,name"`
	Name            string   `yaml:"name" validate:"max=200"`
	Teams           []string `yaml:"teams" validate:"required,min=1,max=200,dive,required,name"`
	Rate            float64  `yaml:"rate" validate:"required,gt=0,max=1000000000"`
	Burst           float64  `yaml:"burst" validate:"required,gt=0,max=100000000000"`
	Weight          float64  `yaml:"weight" validate:"min=0,max=1000"`
	Class           string   `yaml:"class" validate:"required,name"`
	WhenUnconfirmed string   `yaml:"when_unconfirmed" validate:"omitempty,oneof=refuse serve_last_known"`
	Applications    []string `yaml:"applications" validate:"required,min=1,dive,required"`
}

// Application is a model or a plain service that customers call.
type Application struct {
	ID             string        `yaml:"id" validate:"required,name"`
	Kind           string        `yaml:"kind" validate:"required,oneof=model service"`
	Pool           string        `yaml:"pool" validate:"required"`
	Model          string        `yaml:"model" validate:"omitempty,model"`
	Adapter        string        `yaml:"adapter" validate:"omitempty,model"`
	Timeout        time.Duration `yaml:"timeout" validate:"required,min=100ms,max=1h"`
	EnginePriority *int          `yaml:"engine_priority" validate:"omitempty,min=0,max=9"`
	Calls          []Call        `yaml:"calls" validate:"max=200,dive"`
}

// Call is one call of a plain service.
type Call struct {
	Method      string      `yaml:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path        string      `yaml:"path" validate:"required,route"`
	Open        YesNo       `yaml:"open"`
	MayRepeat   *YesNo      `yaml:"may_repeat"`
	OrderNumber OrderNumber `yaml:"order_number"`
	OrderSpace  string      `yaml:"order_space"`
}

// OrderNumber says where the order number stands in a call.
type OrderNumber struct {
	Header    string `yaml:"header" validate:"omitempty,header"`
	BodyField string `yaml:"body_field" validate:"omitempty,field"`
}

// Pool is a set of upstreams of one kind.
type Pool struct {
	Name              string  `yaml:"name" validate:"required,name"`
	Kind              string  `yaml:"kind" validate:"required,oneof=model service kv"`
	Weights           string  `yaml:"weights" validate:"omitempty,model"`
	ChecksFencing     YesNo   `yaml:"checks_fencing"`
	MaxInFlight       int     `yaml:"max_in_flight" validate:"min=0,max=10000"`
	BlockTokens       int     `yaml:"block_tokens" validate:"min=0,max=100000"`
	PrefillPerSecond  float64 `yaml:"prefill_per_second" validate:"min=0,max=1000000000"`
	KVPool            string  `yaml:"kv_pool"`
	KVImportPerSecond float64 `yaml:"kv_import_per_second" validate:"min=0,max=1000000000"`
}

// YesNo is an answer written as yes, no, true or false.
type YesNo bool
