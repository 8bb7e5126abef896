package external

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// DecodeInstances parses the platform's list. A list with an entry that has no
// ID, or with an ID twice, is rejected as a whole: a caller that acted on the
// rest would take the entry's instance for gone.
func DecodeInstances(data []byte) ([]Instance, error) {
	var instances []Instance
	if err := json.Unmarshal(data, &instances); err != nil {
		return nil, errors.Wrap(err, "instance list is not valid")
	}
	if instances == nil {
		return nil, errors.New("instance list is missing")
	}
	seen := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if instance.ID == "" || seen[instance.ID] {
			return nil, errors.Newf("instance list has an empty or repeated ID %.40q", instance.ID)
		}
		seen[instance.ID] = true
	}
	return instances, nil
}
