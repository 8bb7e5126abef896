package dispatch

import (
	"context"

	"github.com/fescuestep/fescuestep/pkg/admission"
)

// Admission decides whether a request may be sent to the upstreams of its service now. It
// must be safe for concurrent use.
type Admission interface {
	// Admit waits until the request may be sent, and returns a function to call once when it
	// has ended. The error is a *code.Error if the request is refused, or the cause of ctx.
	Admit(ctx context.Context, q admission.Request) (end func(), err error)
}

// admit asks for admission, once per request: its retries take the place of what failed.
func (x *exchange) admit(ctx context.Context) error {
	if x.endAdmission != nil {
		return nil
	}
	q := admission.Request{
		Service: x.service.Name, RoutePriority: x.edge.Route.Priority, PromptTokens: x.edge.Call.PromptTokens,
		Deadline: x.r.Deadline, Target: x.edge.Route.TargetLatency,
	}
	if customer := x.edge.Customer; customer != nil {
		q.Customer = customer.Name
		if customer.HasPriority {
			q.CustomerPriority = customer.Priority
		}
	}
	end, err := x.h.Admission.Admit(ctx, q)
	x.endAdmission = end
	return err
}

// releaseAdmission ends the admission of the request if it has one.
func (x *exchange) releaseAdmission() {
	if x.endAdmission != nil {
		x.endAdmission()
		x.endAdmission = nil
	}
}
