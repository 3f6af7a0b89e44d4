package queue

// Update changes floors and shares while the queue is in use.
func (q *Queue) Update(floors, shares map[string]float64) {
	q.Floors = floors
	q.Shares = shares
	q.floorClasses = q.floorClasses[:0]
	for _, t := range q.tiers {
		for _, c := range t.classes {
			q.setFloor(c)
		}
		q.updateShares(t)
	}
	q.chosen = nil
}

// updateShares applies the shares to a tier's accounts and drops the accounts of
// idle workspaces without a share.
func (q *Queue) updateShares(t *tier) {
	t.waitingShares = 0
	for name, a := range t.accounts {
		if _, known := q.Shares[name]; !known && a.waiting == 0 && a.running == 0 {
			delete(t.accounts, name)
			continue
		}
		a.share = q.shareOf(name)
		if a.waiting > 0 {
			t.waitingShares += a.share
		}
		a.charge(0)
	}
}

// setFloor applies the floor of a class.
func (q *Queue) setFloor(c *class) {
	c.setFloor(q.Floors[c.name], q.Limit)
	if c.floor > 0 {
		q.floorClasses = append(q.floorClasses, c)
	}
}
