package upstream

import "time"

// Bounds of a customer that takes more than its share.
const (
	// overShareFactor is the multiple of its weighted share of the requests in
	// flight above which a customer counts as over its share. Smaller factors
	// are exceeded by chance with the few requests of one instance.
	overShareFactor = 2
	// minInFlightOverShare is the number of its requests in flight below which a customer
	// is never over its share.
	minInFlightOverShare = 8
	// overShareMaxQueue is the engine queue that requests of such a customer may join.
	// What it sends beyond that waits in the fair queue, where other customers
	// pass it; in an engine's queue they could not.
	overShareMaxQueue = 100 * time.Millisecond
)

// customerLoad is what one customer has in flight through this instance.
type customerLoad struct {
	weight   float64
	inFlight int
}

// customerLoads holds the customers that have requests in flight.
type customerLoads struct {
	customers   map[string]*customerLoad
	inFlight    int
	totalWeight float64
}

func newCustomerLoads() *customerLoads { return &customerLoads{customers: map[string]*customerLoad{}} }

func (a *customerLoads) add(customer string, weight float64) {
	c := a.customers[customer]
	if c == nil {
		if weight <= 0 {
			weight = 1
		}
		c = &customerLoad{weight: weight}
		a.customers[customer] = c
		a.totalWeight += weight
	}
	c.inFlight++
	a.inFlight++
}

func (a *customerLoads) remove(customer string) {
	c := a.customers[customer]
	c.inFlight--
	a.inFlight--
	if c.inFlight == 0 {
		delete(a.customers, customer)
		a.totalWeight -= c.weight
	}
}

// overShare reports whether the customer has more in flight than overShare times
// its weighted share among the customers in flight.
func (a *customerLoads) overShare(customer string) bool {
	c := a.customers[customer]
	if c == nil || c.inFlight < minInFlightOverShare || len(a.customers) < 2 {
		return false
	}
	fair := float64(a.inFlight) * c.weight / a.totalWeight
	return float64(c.inFlight) > overShareFactor*fair
}
