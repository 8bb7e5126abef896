package configsync

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// Keys of the table rows.
const (
	headKey       = "head"
	changePrefix  = "change/"
	statePrefix   = "state/"
	configPrefix  = "state/config/" // followed by the name of the deployment
	keyPrefix     = "state/key/"    // followed by the digest
	membershipKey = "state/members"
)

// head is the row that every change is conditional on.
type head struct {
	Revision uint64 `json:"revision"`
	Accepted uint64 `json:"accepted"` // highest accepted revision
	// Members is the revision of the last membership change up to Accepted, 0
	// for none. Its change row is kept as long as it is named here.
	Members uint64 `json:"members"`
}

func changeKey(revision uint64) string { return fmt.Sprintf("%s%016d", changePrefix, revision) }

func changeRevision(key string) (uint64, error) {
	return strconv.ParseUint(strings.TrimPrefix(key, changePrefix), 10, 64)
}

func decodeHead(row external.Row) (head, error) {
	var h head
	if row.Version == 0 {
		return h, nil
	}
	err := json.Unmarshal(row.Value, &h)
	return h, errors.Wrap(err, "decode head row")
}

func decodeChange(row external.Row) (config.Change, error) {
	var c config.Change
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return c, errors.Wrapf(err, "decode row %s", row.Key)
	}
	return c, nil
}

// writesOf returns the rows of a change: head, change row and state row.
func writesOf(h head, c config.Change) ([]external.Write, error) {
	stateKey, value := stateRow(c)
	if stateKey == "" {
		return nil, errors.New("change is empty")
	}
	var writes []external.Write
	for _, row := range []struct {
		key   string
		value any
	}{{headKey, h}, {changeKey(c.Revision), c}, {stateKey, value}} {
		data, err := json.Marshal(row.value)
		if err != nil {
			return nil, errors.Wrapf(err, "encode row %s", row.key)
		}
		writes = append(writes, external.Write{Key: row.key, Value: data})
	}
	return writes, nil
}

func stateRow(c config.Change) (key string, value any) {
	switch {
	case c.Deployment != nil:
		return configPrefix + c.Deployment.Name, c.Deployment
	case c.Key != nil:
		text, _ := c.Key.Digest.MarshalText() // never fails
		return keyPrefix + string(text), c.Key
	case c.Members != nil:
		return membershipKey, c.Members
	}
	return "", nil
}

// parts is the state of a snapshot in the form in which it is stored or sent.
type parts struct {
	Revision    uint64               `json:"revision"`
	Deployments []*config.Deployment `json:"deployments"`
	Keys        []*config.Key        `json:"keys"`
	Members     config.Membership    `json:"members"`
}

func (p *parts) add(row external.Row) error {
	var err error
	switch {
	case strings.HasPrefix(row.Key, configPrefix):
		d := new(config.Deployment)
		err = json.Unmarshal(row.Value, d)
		p.Deployments = append(p.Deployments, d)
	case strings.HasPrefix(row.Key, keyPrefix):
		k := new(config.Key)
		err = json.Unmarshal(row.Value, k)
		p.Keys = append(p.Keys, k)
	case row.Key == membershipKey:
		err = json.Unmarshal(row.Value, &p.Members)
	}
	return errors.Wrapf(err, "decode row %s", row.Key)
}

func (p *parts) snapshot() *config.Snapshot {
	return config.Restore(p.Revision, p.Deployments, p.Keys, p.Members)
}

func partsOf(s *config.Snapshot) *parts {
	p := &parts{Revision: s.Revision, Members: s.Members}
	for _, d := range s.Deployments {
		p.Deployments = append(p.Deployments, d)
	}
	for _, k := range s.Keys {
		p.Keys = append(p.Keys, k)
	}
	return p
}
