package load

import (
	"bytes"
	"html/template"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of one plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// smoothing is the number of one-second windows that one point covers: the
// p99 of a single second would rest on one request.
const smoothing = 5

// Write writes the report with its plots to path's format: SVG for .svg,
// otherwise HTML.
func (r *Report) Write(w io.Writer, path string) error {
	latency, err := r.latencyPlot()
	if err != nil {
		return err
	}
	if strings.HasSuffix(path, ".svg") {
		_, err := w.Write(latency)
		return err
	}
	hits, err := r.hitPlot()
	if err != nil {
		return err
	}
	return errors.Wrap(page.Execute(w, map[string]any{
		"Report": r,
		"Plots":  []template.HTML{inline(latency), inline(hits)},
	}), "write report")
}

// inline drops the XML declaration, which HTML does not allow.
func inline(svg []byte) template.HTML {
	if i := bytes.Index(svg, []byte("<svg")); i >= 0 {
		svg = svg[i:]
	}
	return template.HTML(svg) // written by gonum from numbers and policy names
}

func (r *Report) latencyPlot() ([]byte, error) {
	return r.draw("Time to first token, p99 of "+r.Profile, "ms", func(ws []window) float64 {
		h := newHistogram()
		for _, w := range ws {
			h.Merge(w.ttft)
		}
		return quantile(h, 99)
	})
}

func (r *Report) hitPlot() ([]byte, error) {
	return r.draw("Prefix hit rate of "+r.Profile, "share of prompt tokens", func(ws []window) float64 {
		prompt, cached := 0, 0
		for _, w := range ws {
			prompt += w.prompt
			cached += w.cached
		}
		return float64(cached) / float64(max(1, prompt))
	})
}

// draw plots value over time, one line per policy.
func (r *Report) draw(title, unit string, value func([]window) float64) ([]byte, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, m := range r.measured {
		var points plotter.XYs
		for i := smoothing; i <= len(m.windows); i++ {
			points = append(points, plotter.XY{X: float64(i), Y: value(m.windows[i-smoothing : i])})
		}
		if len(points) > 0 {
			lines = append(lines, m.result.Name, points)
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return nil, errors.Wrap(err, "draw plot")
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, err := canvas.WriteTo(&out)
	return out.Bytes(), errors.Wrap(err, "encode plot")
}

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>fescuestep load {{.Report.Profile}}</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}th:first-child,td:first-child{text-align:left}</style>
</head><body><h1>Load report: {{.Report.Profile}}</h1>
<p>Mode {{.Report.Mode}}, seed {{.Report.Seed}}, {{.Report.Duration}}. All policies got the same arrivals.</p>
<table><tr><th>policy</th><th>hit rate</th><th>bound</th><th>TTFT p50 ms</th><th>TTFT p99 ms</th><th>short p99 ms</th><th>worst other customer p99 ms</th><th>wasted tokens</th><th>refused within rate</th><th>overshoot tokens</th><th>truncated</th><th>duplicate orders</th><th>unanswered</th><th>requests</th></tr>
{{range .Report.Policies}}<tr><td>{{.Name}}</td><td>{{printf "%.3f" .PrefixHitRate}}</td><td>{{printf "%.3f" .HitRateBound}}</td><td>{{printf "%.0f" .TTFTP50}}</td><td>{{printf "%.0f" .TTFTP99}}</td><td>{{printf "%.0f" .ShortTTFTP99}}</td><td>{{printf "%.0f" .WorstCustomerTTFTP99}}</td><td>{{.WastedTokens}}</td><td>{{.RefusedWithinRate}}</td><td>{{.OvershootTokens}}</td><td>{{.TruncatedStreams}}</td><td>{{.DuplicateOrders}}</td><td>{{.Unanswered}}</td><td>{{.Requests}}</td></tr>
{{end}}</table>
{{range .Plots}}<div>{{.}}</div>
{{end}}</body></html>
`))
