package admin

import (
	"context"
	"fmt"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/questionnaire"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

// errUnchanged stops a proposal that would change nothing, so that applying
// the same questionnaire again doesn't make a revision.
var errUnchanged = errors.New("nothing to change")

// Apply checks a questionnaire and proposes the deployment that it describes.
func (s *Service) Apply(ctx context.Context, req *admin.ApplyRequest) (*admin.ApplyResponse, error) {
	text := []byte(req.Questionnaire)
	if mistakes := questionnaire.Check(text); len(mistakes) > 0 {
		return &admin.ApplyResponse{Mistakes: mistakesOf(mistakes)}, nil
	}
	var before *config.Snapshot
	var after *config.Deployment
	revision, err := s.o.Publisher.Propose(ctx, func(newest *config.Snapshot) (config.Change, error) {
		d, err := questionnaire.BuildFor(newest, text)
		if err != nil {
			return config.Change{}, err
		}
		before, after = newest, d
		if reflect.DeepEqual(newest.Deployments[d.Name], d) {
			return config.Change{}, errUnchanged
		}
		return config.Change{Deployment: d}, nil
	})
	var mistakes questionnaire.Mistakes
	if errors.As(err, &mistakes) {
		return &admin.ApplyResponse{Mistakes: mistakesOf(mistakes)}, nil
	}
	unchanged := errors.Is(err, errUnchanged)
	if !unchanged {
		s.count(metrics.Apply, err)
	}
	if err != nil && !unchanged {
		return nil, proposeError(err)
	}
	resp := &admin.ApplyResponse{Unchanged: unchanged}
	if unchanged {
		revision = before.Revision
	} else {
		resp.Notices = notices(before, after)
		s.o.Log.Info("configuration applied", "deployment", after.Name, "revision", revision)
	}
	resp.Status = s.wait(ctx, revision, anyServesLastKnown(before.Deployments[after.Name], after))
	return resp, nil
}

func mistakesOf(list []questionnaire.Mistake) []*admin.Mistake {
	out := make([]*admin.Mistake, len(list))
	for i, m := range list {
		out[i] = &admin.Mistake{
			Line:       int32(m.Line),
			Column:     int32(m.Column),
			Field:      m.Field,
			Message:    m.Message,
			Suggestion: m.Suggestion,
		}
	}
	return out
}

// notices names customers that the new deployment no longer has although
// they have keys.
func notices(before *config.Snapshot, after *config.Deployment) []string {
	old := before.Deployments[after.Name]
	if old == nil {
		return nil
	}
	keys := map[string]int{}
	for _, k := range before.Keys {
		if !k.Revoked {
			keys[k.Customer]++
		}
	}
	kept := map[string]bool{}
	for i := range after.Customers {
		kept[after.Customers[i].ID] = true
	}
	var list []string
	for i := range old.Customers {
		if id := old.Customers[i].ID; !kept[id] && keys[id] > 0 {
			list = append(list, fmt.Sprintf("customer %s is gone; %d of its keys no longer work and are not revoked", id, keys[id]))
		}
	}
	slices.Sort(list)
	return list
}

// refusal is an error of a build function that the operator sees as it is.
// Without this type, an error of the table's own Twirp client would pass for
// one.
type refusal struct{ answer twirp.Error }

// Error returns the text of the answer that the operator gets.
func (r refusal) Error() string { return r.answer.Error() }

// proposeError words a failed proposal. It claims that nothing was changed
// only when that is certain.
func proposeError(err error) error {
	var r refusal
	switch {
	case errors.As(err, &r):
		return r.answer
	case errors.Is(err, external.ErrOutcomeUnknown):
		return twirp.Unavailable.Error("The table service did not answer; the change may have been made. Look at the state before you repeat it.")
	case errors.Is(err, external.ErrUnavailable):
		return twirp.Unavailable.Error("The table service is not available; nothing was changed. Repeat the command later.")
	case errors.Is(err, external.ErrConflict):
		return twirp.Aborted.Error("Other operators changed the configuration at the same time; nothing was changed. Repeat the command.")
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return twirp.DeadlineExceeded.Error("The command was broken off; the change may have been made. Look at the state before you repeat it.")
	}
	return twirp.Internal.Errorf("The change failed and may have been made: %w", err)
}
