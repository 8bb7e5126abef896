package fleet

import "time"

// MaxListingLag is how far the listed state of an upstream may lag behind the state
// that its responses reported: the entry is written about every second and takes
// about another second to arrive.
const MaxListingLag = 3 * time.Second
