package origin

import (
	"encoding/json"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Software is a version of a service's software. Two services may name versions alike.
type Software struct {
	Service string `json:"service"`
	Version string `json:"version"` // empty if it is not known
}

// Register lists the software that may have begun streams which can still be taken up. The
// store keeps it. A process begins streams at a version only once the register has it, so
// that whoever reads the register and finds one version knows which one began a stream.
type Register struct {
	// Era is how often the store had come back from a copy when the register was written.
	// Versions that were added since an earlier one may be missing.
	Era      uint64              `json:"era,omitempty"`
	Services map[string][]string `json:"services"` // versions by service, sorted
	// Revision is the store's, by which a later answer is told from an earlier one; zero
	// where the store had no register.
	Revision uint64 `json:"-"`

	lost bool // what the store has can't be read
}

// anyService stands for all services in a register that may lack versions of them.
const anyService = ""

// Unreadable stands for a register that can't be read: any version may be missing.
func Unreadable() Register { return Register{lost: true} }

// ParseRegister reads a register as the store has it. Error: chicoryrock.ErrInvalid.
func ParseRegister(data []byte) (Register, error) {
	var r Register
	if err := json.Unmarshal(data, &r); err != nil {
		return r, errors.Wrapf(chicoryrock.ErrInvalid, "register of software versions: %v", err)
	}
	return r, nil
}

// Has reports whether the register has a version.
func (r *Register) Has(software Software) bool {
	return slices.Contains(r.Services[software.Service], software.Version)
}

// Only returns the one version of a service that may have begun streams of a model; false if
// there are several, or some aren't known. Without a model it is that of all their streams.
func (r *Register) Only(service, model string) (string, bool) {
	versions := r.Services[service]
	if _, lacking := r.Services[anyService]; lacking || len(versions) == 0 || versions[0] == "" {
		return "", false
	}
	only := chicoryrock.BuildFor(versions[0], model)
	for _, version := range versions[1:] {
		if chicoryrock.BuildFor(version, model) != only {
			return "", false
		}
	}
	return only, true
}

// inEra returns the register as it is to be understood in an era of the store: it may lack
// versions that were added after the copy was taken.
func (r *Register) inEra(era uint64) Register {
	if r.Era >= era && !r.lost {
		return *r
	}
	next := Register{Era: era, Services: map[string][]string{anyService: {""}}, Revision: r.Revision}
	maps.Copy(next.Services, r.Services)
	return next
}

// include returns a sorted list with a value.
func include(sorted []string, value string) []string {
	at, found := slices.BinarySearch(sorted, value)
	if found {
		return sorted
	}
	return slices.Insert(slices.Clone(sorted), at, value)
}

// equal reports whether two registers say the same.
func (r *Register) equal(other *Register) bool {
	return r.Era == other.Era && maps.EqualFunc(r.Services, other.Services, slices.Equal[[]string])
}

// registrar keeps what a process knows of the register.
type registrar struct {
	known   Register
	read    bool                   // from the store
	listed  map[Software]bool      // of the servers that are known now
	begins  map[Software]bool      // in the register, and of servers all the time since it was read
	missing map[Software]time.Time // in the register, but of no server since then
	lostAt  time.Time              // since when the list of servers can't be followed; zero if it can
}

// SetListed takes in the software of all servers that are known.
func (b *Book) SetListed(now time.Time, listed []Software) {
	r := &b.registrar
	r.listed = make(map[Software]bool, len(listed))
	for _, software := range listed {
		r.listed[software] = true
	}
	maps.DeleteFunc(r.begins, func(software Software, _ bool) bool { return !r.listed[software] })
	r.age(now)
}

// ListLost records that the list of servers may not be followed for now.
func (b *Book) ListLost(now time.Time) {
	if r := &b.registrar; r.lostAt.IsZero() {
		r.lostAt = now
	}
}

// ListHeard records that the list of servers is followed. Where it was not for long, other
// processes may have dropped versions that have come back since.
func (b *Book) ListHeard(now time.Time) {
	r := &b.registrar
	if r.lostAt.IsZero() {
		return
	}
	if now.Sub(r.lostAt) >= Retention/2 {
		r.begins = nil
	}
	r.lostAt, r.missing = time.Time{}, nil
	r.age(now)
}

// age notes since when versions of the register have no servers.
func (r *registrar) age(now time.Time) {
	if r.listed == nil {
		return
	}
	missing := make(map[Software]time.Time)
	for software := range r.known.all() {
		if r.listed[software] {
			continue
		}
		since, found := r.missing[software]
		if !found {
			since = now
		}
		missing[software] = since
	}
	r.missing = missing
}

// all iterates over the versions of a register.
func (r *Register) all() iter.Seq[Software] {
	return func(yield func(Software) bool) {
		for service, versions := range r.Services {
			for _, version := range versions {
				if !yield(Software{service, version}) {
					return
				}
			}
		}
	}
}

// SetRegister takes in the register as the store had it in an era; the zero value if it had
// none. An answer that a later one has overtaken is not used. It reports whether that is news.
func (b *Book) SetRegister(now time.Time, register Register, era uint64) bool {
	r := &b.registrar
	if era < r.known.Era || r.read && era == r.known.Era && register.Revision < r.known.Revision {
		return false
	}
	if era > r.known.Era {
		r.missing = nil
	}
	before, begun := r.known, r.begins
	r.known, r.read = register.inEra(era), true
	r.begins = make(map[Software]bool)
	for software := range r.known.all() {
		if r.listed[software] {
			r.begins[software] = true
		}
	}
	r.age(now)
	return !r.known.equal(&before) || !maps.Equal(r.begins, begun)
}

// Hear takes in at which versions another process may begin streams. It reports whether
// that is news.
func (b *Book) Hear(told Register) bool {
	r := &b.registrar
	if !r.read && told.Era > r.known.Era {
		r.known = Register{Era: told.Era}
	}
	if told.Era != r.known.Era {
		return false // what was lost with a copy only the store can tell
	}
	news := false
	for software := range told.all() {
		if !r.listed[software] || r.begins[software] {
			continue
		}
		if r.begins == nil {
			r.begins = make(map[Software]bool)
		}
		r.begins[software], news = true, true
	}
	return news
}

// Begins returns the versions at which this process may begin streams, for Hear.
func (b *Book) Begins() Register {
	r := &b.registrar
	told := Register{Era: r.known.Era, Services: make(map[string][]string)}
	for software := range r.begins {
		told.Services[software.Service] = include(told.Services[software.Service], software.Version)
	}
	return told
}

// MayBegin reports whether streams may begin at a version.
func (b *Book) MayBegin(software Software) bool { return b.registrar.begins[software] }

// Incomplete reports whether the register is to be read or written: it has not been read in
// the store's present era, may lack a version of a server, or has one that is of no server
// any more.
func (b *Book) Incomplete(now time.Time, era uint64) bool {
	r := &b.registrar
	if r.known.Era < era {
		return true
	}
	for software := range r.listed {
		if !r.begins[software] {
			return true
		}
	}
	for software, since := range r.missing {
		if r.droppable(now, software, since) {
			return true
		}
	}
	return false
}

// droppable reports whether a version without servers since a time is to be dropped.
func (r *registrar) droppable(now time.Time, software Software, since time.Time) bool {
	return r.lostAt.IsZero() && now.Sub(since) >= Retention && r.known.Has(software)
}

// Amend returns what the register should be where the store has one, or the zero value, in
// an era; false if that is so already. What this process knew in an earlier era is added.
func (b *Book) Amend(now time.Time, stored Register, era uint64) (Register, bool) {
	r := &b.registrar
	next := stored.inEra(era)
	next.Era = era
	services := make(map[string][]string, len(next.Services))
	maps.Copy(services, next.Services)
	if r.known.Era < era {
		for software := range r.known.all() {
			services[software.Service] = include(services[software.Service], software.Version)
		}
	}
	for software := range r.listed {
		services[software.Service] = include(services[software.Service], software.Version)
	}
	for software, since := range r.missing {
		if r.known.Era == era && r.droppable(now, software, since) {
			services[software.Service] = exclude(services[software.Service], software.Version)
			if len(services[software.Service]) == 0 {
				delete(services, software.Service)
			}
		}
	}
	next.Services = services
	return next, !next.equal(&stored)
}

// exclude returns a sorted list without a value.
func exclude(sorted []string, value string) []string {
	at, found := slices.BinarySearch(sorted, value)
	if !found {
		return sorted
	}
	return slices.Delete(slices.Clone(sorted), at, at+1)
}
