package upstream

import "time"

// Bounds of a customer that takes more than its share.
const (
	// overShare is the multiple of its weighted share of the requests in
	// flight above which a customer counts as over its share. Smaller factors
	// are exceeded by chance with the few requests of one instance.
	overShare = 2
	// minShared is the number of its requests in flight below which a customer
	// is never over its share.
	minShared = 8
	// overQueue is the engine queue that requests of such a customer may join.
	// What it sends beyond that waits in the fair queue, where other customers
	// pass it; in an engine's queue they could not.
	overQueue = 100 * time.Millisecond
)

// account is what one customer has in flight through this instance.
type account struct {
	weight  float64
	flights int
}

// accounts holds the customers that have requests in flight.
type accounts struct {
	customers map[string]*account
	flights   int
	weights   float64
}

func newAccounts() *accounts { return &accounts{customers: map[string]*account{}} }

func (a *accounts) start(customer string, weight float64) {
	c := a.customers[customer]
	if c == nil {
		if weight <= 0 {
			weight = 1
		}
		c = &account{weight: weight}
		a.customers[customer] = c
		a.weights += weight
	}
	c.flights++
	a.flights++
}

func (a *accounts) end(customer string) {
	c := a.customers[customer]
	c.flights--
	a.flights--
	if c.flights == 0 {
		delete(a.customers, customer)
		a.weights -= c.weight
	}
}

// over reports whether the customer has more in flight than overShare times
// its weighted share among the customers in flight.
func (a *accounts) over(customer string) bool {
	c := a.customers[customer]
	if c == nil || c.flights < minShared || len(a.customers) < 2 {
		return false
	}
	fair := float64(a.flights) * c.weight / a.weights
	return float64(c.flights) > overShare*fair
}
