package queue

// Update changes floors and shares while the queue is in use.
func (q *Queue) Update(floors, shares map[string]float64) {
	q.Floors = floors
	q.Shares = shares
	q.floored = q.floored[:0]
	for _, t := range q.tiers {
		for _, l := range t.lanes {
			q.setFloor(l)
		}
		q.reshare(t)
	}
	q.chosen = nil
}

func (q *Queue) reshare(t *tier) {
	t.shares = 0
	for name, a := range t.accounts {
		if _, known := q.Shares[name]; !known && a.waiting == 0 && a.running == 0 {
			delete(t.accounts, name)
			continue
		}
		a.share = q.share(name)
		if a.waiting > 0 {
			t.shares += a.share
		}
		a.charge(0)
	}
}

func (q *Queue) setFloor(l *lane) {
	l.setFloor(q.Floors[l.class], q.Limit)
	if l.floor > 0 {
		q.floored = append(q.floored, l)
	}
}
