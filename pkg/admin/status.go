package admin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

// progress is what is known of a revision's acceptance.
type progress struct {
	accepted bool
	pending  []string
	err      error // the last question was not answered
}

var errNoAnswer = errors.New("no answer about the progress")

// wait asks for the progress of a revision until it is in force, ctx ends or
// the bound has passed, and returns the last answer.
func (s *Service) wait(ctx context.Context, revision uint64, servesLastKnown bool) *admin.Status {
	ctx, cancel := context.WithTimeout(ctx, s.o.Wait)
	defer cancel()
	last := progress{err: errNoAnswer}
	for {
		p := s.ask(ctx, revision)
		if p.err == nil || ctx.Err() == nil {
			last = p
		}
		if inForce(last, servesLastKnown) {
			break
		}
		select {
		case <-ctx.Done():
			return status(revision, last, servesLastKnown)
		case <-time.After(pollInterval):
		}
	}
	return status(revision, last, servesLastKnown)
}

func (s *Service) ask(ctx context.Context, revision uint64) progress {
	accepted, pending, err := s.o.Publisher.Progress(ctx, revision)
	return progress{accepted, pending, err}
}

// inForce reports whether no instance acts on an older revision any more.
// Instances that have not confirmed an accepted revision refuse keyed
// requests, except for customers with when_unconfirmed: serve_last_known.
func inForce(p progress, servesLastKnown bool) bool {
	return p.err == nil && p.accepted && (len(p.pending) == 0 || !servesLastKnown)
}

func status(revision uint64, p progress, servesLastKnown bool) *admin.Status {
	pending := slices.Sorted(slices.Values(p.pending))
	st := &admin.Status{Revision: revision, InForce: inForce(p, servesLastKnown), Unconfirmed: pending}
	names := strings.Join(pending, ", ")
	switch {
	case p.err != nil:
		st.Explanation = fmt.Sprintf("Revision %d is committed; which instances use it could not be determined. Ask again with Revision.", revision)
	case st.InForce && len(pending) == 0:
		st.Explanation = fmt.Sprintf("Revision %d is in force on all instances.", revision)
	case st.InForce:
		st.Explanation = fmt.Sprintf("Revision %d is in force. Not confirmed by %s, which refuse keyed requests until they have caught up.", revision, names)
	case p.accepted:
		st.Explanation = fmt.Sprintf("Revision %d is accepted, but %s may still serve customers with when_unconfirmed: serve_last_known by an older one.", revision, names)
	case len(pending) == 0:
		st.Explanation = fmt.Sprintf("Revision %d is committed and not yet accepted. Ask again with Revision.", revision)
	default:
		st.Explanation = fmt.Sprintf("Revision %d is committed, but not confirmed by %s, which may still act on an older one.", revision, names)
	}
	return st
}

// servesLastKnown reports whether an instance that can't confirm its
// configuration serves the customer nevertheless.
func servesLastKnown(c *config.Customer) bool {
	return c != nil && c.WhenUnconfirmed == config.ServeLastKnown
}

func anyServesLastKnown(deployments ...*config.Deployment) bool {
	for _, d := range deployments {
		if d == nil {
			continue
		}
		for i := range d.Customers {
			if servesLastKnown(&d.Customers[i]) {
				return true
			}
		}
	}
	return false
}

// Revision returns the revision that this instance holds, and whether it is in force
// everywhere.
func (s *Service) Revision(ctx context.Context, _ *admin.RevisionRequest) (*admin.RevisionResponse, error) {
	snapshot := s.o.State.Snapshot()
	if snapshot.Revision == 0 {
		return &admin.RevisionResponse{Status: &admin.Status{Explanation: "This instance holds no configuration yet."}}, nil
	}
	p := s.ask(ctx, snapshot.Revision)
	var deployments []*config.Deployment
	for _, d := range snapshot.Deployments {
		deployments = append(deployments, d)
	}
	return &admin.RevisionResponse{
		Status: status(snapshot.Revision, p, anyServesLastKnown(deployments...)),
		Fresh:  s.o.State.Fresh(),
	}, nil
}

// Instances returns the instances, and whether each has confirmed the newest revision.
func (s *Service) Instances(ctx context.Context, _ *admin.InstancesRequest) (*admin.InstancesResponse, error) {
	snapshot := s.o.State.Snapshot()
	p := s.ask(ctx, snapshot.Revision)
	resp := &admin.InstancesResponse{}
	for _, m := range snapshot.Members.Members {
		resp.Instances = append(resp.Instances, &admin.Instance{
			Id:        m.ID,
			Domain:    m.Domain,
			PeerAddr:  m.PeerAddr,
			Leaving:   m.Leaving,
			Confirmed: p.err == nil && !slices.Contains(p.pending, m.ID),
		})
	}
	return resp, nil
}
