package place

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/backup"
)

// ChooseBackup returns the name of the replica that is to keep a copy of the memory of an
// open request, or "" for none. Replicas are those that may take the request.
func (p *Placer) ChooseBackup(now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) string {
	ps := p.pool(request.Pool)
	j := ps.jobs[request]
	if j == nil || ps.slots == 0 || !ps.copies.Wanted(request) {
		return ""
	}
	var primary *backup.Server
	p.backups = p.backups[:0]
	for i := range replicas {
		p.backups = append(p.backups, ps.backupServer(now, i, &replicas[i]))
	}
	for i := range p.backups {
		if p.backups[i].Name == j.replica.name {
			primary = &p.backups[i]
		}
	}
	if primary == nil {
		return ""
	}
	if i, found := backup.Choose(primary, p.backups); found {
		return p.backups[i].Name
	}
	return ""
}

func (ps *poolState) backupServer(now time.Time, i int, listed *chicoryrock.Replica) backup.Server {
	r := ps.replicaAt(i, listed)
	return backup.Server{
		Name:        listed.Name,
		Centre:      listed.Centre,
		Region:      listed.Region,
		Load:        float64(r.openRequests()) / float64(ps.slots),
		LongPrompts: r.takesLong,
		Unfit:       listed.Leaving || now.Before(r.avoidUntil) || now.Before(r.coldUntil) || now.Before(listed.RestUntil),
	}
}
