package load

// Report is the outcome of a run.
type Report struct {
	Profile  string   `json:"profile"`
	Seed     uint64   `json:"seed"`
	Mode     string   `json:"mode"`
	Duration string   `json:"duration"`
	Policies []Result `json:"policies"`

	bound    float64
	measured []*measured
}

// measured is one policy's result with what the plots need.
type measured struct {
	result  Result
	windows []window
}

func newReport(o Options, bound float64) *Report {
	return &Report{
		Profile: o.Profile.Name, Seed: o.Seed, Mode: "virtual", Duration: o.Duration.String(), bound: bound,
	}
}

func (r *Report) add(m *measured) {
	m.result.HitRateBound = r.bound
	r.measured = append(r.measured, m)
	r.Policies = append(r.Policies, m.result)
}
