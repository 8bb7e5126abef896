package fleet

import "time"

// MaxListingLag is how long the listing of an upstream may be older than what the
// upstream showed: it is written about every second and takes as long to arrive.
const MaxListingLag = 3 * time.Second
