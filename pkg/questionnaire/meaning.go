package questionnaire

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// maxClasses bounds the classes of a deployment: each is a label value of the
// latency histograms.
const maxClasses = 16

// reservedIDs are first path segments that the router serves itself; a plain
// service of that name could not be reached.
var reservedIDs = []string{"v1", "healthz", "readyz", "metrics", "twirp"}

// reservedHeaders never carry an order number: the router strips or rewrites
// them.
var reservedHeaders = []string{"Authorization", "Cookie", "X-Api-Key", "X-Request-Id", "Content-Length", "Host", "Connection"}

// meaning reports answers that contradict each other.
func (d *decoder) meaning(q *Questionnaire) {
	pools := map[string]*Pool{}
	for i := range q.Pools {
		pools[q.Pools[i].Name] = &q.Pools[i]
	}
	for i := range q.Applications {
		d.application(fmt.Sprintf("applications[%d]", i), &q.Applications[i], pools)
	}
	d.notZero("one_way_delay", q.OneWayDelay == 0)
	for i, c := range q.Customers {
		d.notZero(fmt.Sprintf("customers[%d].weight", i), c.Weight == 0)
	}
	for i := range q.Pools {
		d.pool(fmt.Sprintf("pools[%d]", i), &q.Pools[i], pools)
	}
	d.classes(q)
}

// notZero reports a zero that was written down. Zero stands for a question
// left unanswered, so the default would take its place unnoticed.
func (d *decoder) notZero(path string, zero bool) {
	if _, given := d.positions[path]; given && zero {
		d.addChecked(path, "must be greater than 0", "leave it out for the default")
	}
}

func (d *decoder) classes(q *Questionnaire) {
	seen := map[string]bool{}
	for i, c := range q.Customers {
		seen[c.Class] = true
		if len(seen) > maxClasses {
			d.addChecked(fmt.Sprintf("customers[%d].class", i), fmt.Sprintf("more than %d different classes", maxClasses), "use the class of similar customers")
			return
		}
	}
}

func (d *decoder) application(path string, a *Application, pools map[string]*Pool) {
	if slices.Contains(reservedIDs, a.ID) {
		d.addChecked(path+".id", fmt.Sprintf("%q is used by the router itself", a.ID), "choose another name")
	}
	if p := pools[a.Pool]; p != nil && p.Kind != a.Kind && knownKind(p.Kind) && knownKind(a.Kind) {
		d.addChecked(path+".pool", fmt.Sprintf("pool %q is of kind %s, the application of kind %s", p.Name, p.Kind, a.Kind), "")
	}
	if a.Kind == "model" {
		d.modelApplication(path, a)
		return
	}
	if a.Model != "" || a.Adapter != "" {
		d.addChecked(path+".model", "a service has neither model nor adapter", "use kind: model or remove them")
	}
	if len(a.Calls) == 0 {
		d.addChecked(path+".calls", "a service needs at least one call", "")
	}
	for j := range a.Calls {
		d.call(fmt.Sprintf("%s.calls[%d]", path, j), &a.Calls[j])
	}
}

// knownKind reports whether the kind itself is without a mistake.
func knownKind(kind string) bool {
	return kind == "model" || kind == "service" || kind == "kv"
}

func (d *decoder) modelApplication(path string, a *Application) {
	if a.Model == "" {
		d.addChecked(path+".model", "an answer is required for kind: model", "the name that callers send in the field model")
	}
	if len(a.Calls) > 0 {
		d.addChecked(path+".calls", "only a service has calls", "use kind: service or remove them")
	}
}

func (d *decoder) call(path string, c *Call) {
	if c.MayRepeat == nil && !readOnly(c.Method) {
		d.addChecked(path+".may_repeat", "an answer is required for "+c.Method, "no for anything that orders, pays or prints; yes when repeating does no harm")
	}
	if c.OrderNumber.Header != "" && c.OrderNumber.BodyField != "" {
		d.addChecked(path+".order_number", "stands either in a header or in a field of the body", "keep one of them")
	}
	for _, name := range reservedHeaders {
		if strings.EqualFold(c.OrderNumber.Header, name) {
			d.addChecked(path+".order_number.header", fmt.Sprintf("header %s can't carry an order number", name), "")
		}
	}
	if c.mayRepeat() && (c.OrderNumber != OrderNumber{} || c.OrderSpace != "") {
		d.addChecked(path+".may_repeat", "a call with an order number or order space may not be repeated", "write may_repeat: no")
	}
}

func readOnly(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// mayRepeat returns the answer or its default: only reading calls may be
// repeated without being asked.
func (c *Call) mayRepeat() bool {
	if c.MayRepeat != nil {
		return bool(*c.MayRepeat)
	}
	return readOnly(c.Method)
}

func (d *decoder) pool(path string, p *Pool, pools map[string]*Pool) {
	d.notZero(path+".max_in_flight", p.MaxInFlight == 0)
	d.notZero(path+".block_tokens", p.BlockTokens == 0)
	d.notZero(path+".prefill_per_second", p.PrefillPerSecond == 0)
	d.notZero(path+".kv_import_per_second", p.KVImportPerSecond == 0)
	if kv := pools[p.KVPool]; kv != nil && kv.Kind != "kv" && knownKind(kv.Kind) {
		d.addChecked(path+".kv_pool", fmt.Sprintf("pool %q is of kind %s, not kv", kv.Name, kv.Kind), "")
	}
	if p.Kind == "model" {
		if p.Weights == "" {
			d.addChecked(path+".weights", "an answer is required for kind: model", "the version of the weights that the engines load")
		}
		return
	}
	for _, f := range []struct {
		name  string
		given bool
	}{
		{"weights", p.Weights != ""},
		{"block_tokens", p.BlockTokens != 0},
		{"prefill_per_second", p.PrefillPerSecond != 0},
		{"kv_pool", p.KVPool != ""},
		{"kv_import_per_second", p.KVImportPerSecond != 0},
	} {
		if f.given {
			d.addChecked(path+"."+f.name, "only pools of kind model have this", "remove it")
		}
	}
}
