package fleet

import "time"

// ListingLag is how long the listing of an upstream may be older than what the
// upstream showed: it is written about every second and takes as long to arrive.
const ListingLag = 3 * time.Second
