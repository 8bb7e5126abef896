package emulator

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/placement"
)

// maxReports is the number of reports of upstreams in a digest.
const maxReports = 12

// exchange models the digests between instances: each tells its own work and news with
// a delay, and sums up what the others have told now and then.
type exchange struct {
	Exchange
	r       *run
	list    []*placement.Balancer
	told    []map[string]placement.Work // by instance
	toldAt  []time.Duration
	pending [][]placement.Announcement // by instance: news for its next partial digest
}

func newExchange(r *run, list []*placement.Balancer) *exchange {
	return &exchange{
		Exchange: r.d.Exchange, r: r, list: list, told: make([]map[string]placement.Work, len(list)),
		toldAt: make([]time.Duration, len(list)), pending: make([][]placement.Announcement, len(list)),
	}
}

// start schedules the full digests, spread over the interval, and the sums.
func (x *exchange) start(end time.Duration) {
	for i := range x.list {
		phase := x.Interval * time.Duration(i) / time.Duration(len(x.list))
		x.r.every(phase, x.Interval, end, func(now time.Duration) { x.send(now, i) })
		phase = x.Refresh * time.Duration(i) / time.Duration(len(x.list))
		x.r.every(phase, x.Refresh, end, func(now time.Duration) { x.refresh(now, i) })
	}
}

// tell adds a piece of news to the next partial digest of an instance.
func (x *exchange) tell(now time.Duration, from int, placed placement.Announcement) {
	x.pending[from] = append(x.pending[from], placed)
	if len(x.pending[from]) == 1 {
		x.r.events.after(now+x.News, func(now time.Duration) { x.send(now, from) })
	}
}

// send brings the work and the news of an instance to the others.
func (x *exchange) send(now time.Duration, from int) {
	news := x.pending[from]
	x.pending[from] = nil
	reports := x.list[from].CapacityReports(maxReports, epoch.Add(now))
	work := x.list[from].OwnWork()
	x.r.events.after(now+toEngine, func(now time.Duration) {
		x.told[from], x.toldAt[from] = work, now
		for i, book := range x.list {
			for _, r := range reports {
				if i != from {
					r.Age += toEngine
					book.MergeCapacity(r, epoch.Add(now))
				}
			}
			for _, placed := range news {
				if i != from {
					book.ApplyAnnouncement(placed, epoch.Add(now))
				}
			}
		}
	})
}

// refresh sums up at an instance what the others have told.
func (x *exchange) refresh(now time.Duration, at int) {
	total := map[string]placement.Work{}
	var age time.Duration
	for i, work := range x.told {
		if i == at {
			continue
		}
		age += now - x.toldAt[i]
		for id, w := range work {
			total[id] = sum(total[id], w)
		}
	}
	mean := age / time.Duration(max(1, len(x.list)-1))
	x.list[at].SetPeerWork(total, placement.KnowledgeAge{Announced: x.News, Others: mean}, epoch.Add(now))
}
