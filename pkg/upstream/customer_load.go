package upstream

import "time"

// Limits on customers that exceed their fair share.
const (
	// overShareFactor is the multiple of its weighted share of the requests in
	// flight above which a customer counts as over its share. One instance
	// handles so few requests that smaller factors are exceeded by chance.
	overShareFactor = 2
	// minInFlightOverShare is the number of requests in flight below which a
	// customer is never over its share.
	minInFlightOverShare = 8
	// overShareMaxQueue is the longest engine queue that requests of a customer
	// over its share may join. The rest waits in the fair queue, where requests
	// of other customers can overtake it; in an engine's queue they can't.
	overShareMaxQueue = 100 * time.Millisecond
)

// customerLoad counts the requests that one customer has in flight through this
// instance.
type customerLoad struct {
	weight   float64
	inFlight int
}

// customerLoads holds the load of every customer that has requests in flight.
type customerLoads struct {
	customers   map[string]*customerLoad
	inFlight    int
	totalWeight float64
}

func newCustomerLoads() *customerLoads { return &customerLoads{customers: map[string]*customerLoad{}} }

func (l *customerLoads) add(customer string, weight float64) {
	c := l.customers[customer]
	if c == nil {
		if weight <= 0 {
			weight = 1
		}
		c = &customerLoad{weight: weight}
		l.customers[customer] = c
		l.totalWeight += weight
	}
	c.inFlight++
	l.inFlight++
}

func (l *customerLoads) remove(customer string) {
	c := l.customers[customer]
	c.inFlight--
	l.inFlight--
	if c.inFlight == 0 {
		delete(l.customers, customer)
		l.totalWeight -= c.weight
	}
}

// overShare reports whether the customer has more requests in flight than
// overShareFactor times its weighted share among the customers with requests in
// flight.
func (l *customerLoads) overShare(customer string) bool {
	c := l.customers[customer]
	if c == nil || c.inFlight < minInFlightOverShare || len(l.customers) < 2 {
		return false
	}
	fairShare := float64(l.inFlight) * c.weight / l.totalWeight
	return float64(c.inFlight) > overShareFactor*fairShare
}
