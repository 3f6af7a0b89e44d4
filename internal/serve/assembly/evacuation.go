package assembly

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/follow"
	"github.com/chicoryrock/chicoryrock/internal/state/evacuation"
	"github.com/chicoryrock/chicoryrock/platform"
)

const (
	// evacuationPause is kept between two messages on evacuations.
	evacuationPause = 500 * time.Millisecond
	// evacuationSpread is for how long after a change the others are told, also of no
	// evacuation: much longer than the links between processes usually fail.
	evacuationSpread = time.Minute
)

// evacuations is what a front knows of evacuated data centres, and what it has told of them.
// Its fields are used under the lock of Front.
type evacuations struct {
	list    evacuation.List
	told    int       // changes of the list that the others were told
	toldAt  time.Time // when they were last told
	owed    bool      // one of them lacks something
	assumed bool      // nobody has told anything in time, and the process serves without
}

// readOperator takes in all that operators have written.
func (p *Front) readOperator(now time.Time, entries []chicoryrock.KeyValue, revision uint64) {
	state := evacuation.State{Revision: revision}
	for _, entry := range entries {
		p.configure(now, entry)
		if centre, found := platform.EvacuatedCentre(entry); found {
			state.Facts = append(state.Facts, evacuation.Fact{Centre: centre, Revision: entry.Revision, Evacuated: true})
		}
	}
	p.learnEvacuations("store", func(list *evacuation.List) { list.Read(now, &state) })
}

// changeOperator takes in a whole answer of a watch of what operators write.
func (p *Front) changeOperator(now time.Time, changes *follow.Changes) {
	var facts []evacuation.Fact
	for _, entry := range changes.Entries {
		p.configure(now, entry)
		if centre, found := platform.EvacuatedCentre(entry); found {
			facts = append(facts, evacuation.Fact{Centre: centre, Revision: entry.Revision, Evacuated: !entry.Deleted})
		}
	}
	p.learnEvacuations("store", func(list *evacuation.List) {
		for _, fact := range facts {
			list.Learn(now, fact)
		}
		list.CaughtUp(changes.Through)
	})
}

// watchState is how the watch of a prefix goes.
type watchState struct {
	answered time.Time // when the store last answered
	failed   bool      // it has not answered since a call failed
}

func (p *Front) heardOperator(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.operator = watchState{answered: now}
}

func (p *Front) failedOperator(time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.operator.failed = true
}

// lastStoreAnswer returns when the store last answered all that this process watches for the
// others. A large answer of the operators' keys that is coming in is no failure. The lock is held.
func (p *Front) lastStoreAnswer() time.Time {
	if p.operator.failed && p.operator.answered.Before(p.watched) {
		return p.operator.answered
	}
	return p.watched
}

// learnEvacuations changes the list of evacuated data centres and puts it in force at once.
func (p *Front) learnEvacuations(from string, learn func(*evacuation.List)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := &p.evacuations.list
	known, before := list.Known(), list.Evacuated()
	learn(list)
	after := list.Evacuated()
	if changes, _ := list.Changes(); changes != p.evacuations.told {
		signalTo(p.news)
	}
	if list.Known() && (!known || !slices.Equal(before, after)) {
		p.setEvacuated(before, after, from)
	}
}

// setEvacuated puts a list of evacuated data centres in force. The lock is held.
func (p *Front) setEvacuated(before, after []string, from string) {
	for _, centre := range after {
		if !slices.Contains(before, centre) {
			p.Log.Write(event.Evacuating, zap.String("centre", centre), zap.String("from", from))
		}
	}
	for _, centre := range before {
		if !slices.Contains(after, centre) {
			p.Log.Write(event.EvacuationOver, zap.String("centre", centre), zap.String("from", from))
		}
	}
	p.front.SetEvacuated(after)
	p.publishAgain()
}

// evacuationMessage returns what the others are to be told now, or nothing: all that is known,
// while data centres are being evacuated, for a while after a change, and when one of them
// lacks something.
func (p *Front) evacuationMessage(now time.Time) []byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := &p.evacuations
	changes, last := e.list.Changes()
	due := e.owed || now.Sub(last) < evacuationSpread || len(e.list.Evacuated()) > 0
	if !e.list.Known() || !due || now.Sub(e.toldAt) < evacuationPause && changes == e.told {
		return nil
	}
	e.told, e.toldAt, e.owed = changes, now, false
	state := e.list.State()
	return state.Append(nil)
}

// heardEvacuations takes in what another process says of evacuations. One that lacks something
// is told with the next message.
func (p *Front) heardEvacuations(now time.Time, from netip.AddrPort, state *evacuation.State) {
	p.learnEvacuations(from.String(), func(list *evacuation.List) {
		list.Read(now, state)
		p.evacuations.owed = p.evacuations.owed || list.Exceeds(state)
	})
}

// answerEvacuations returns what is known of evacuations to another process. Error:
// chicoryrock.ErrNotFound before anything is.
func (p *Front) answerEvacuations(context.Context, json.RawMessage) (any, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.evacuations.list.Known() {
		return nil, errors.WithStack(chicoryrock.ErrNotFound)
	}
	return p.evacuations.list.State(), nil
}

// expireEvacuations ends those that the store lost some time ago.
func (p *Front) expireEvacuations(now time.Time) {
	p.learnEvacuations("restored store", func(list *evacuation.List) { list.Expire(now) })
}

// fetchEvacuations asks peers, until anything is known of evacuations, as the store may turn
// this process away. Peers of former builds know nothing of them, so that it serves without
// after the time from which an evacuation binds.
func (p *Front) fetchEvacuations(ctx context.Context, now time.Time) {
	p.mutex.Lock()
	known := p.evacuations.list.Known() || p.evacuations.assumed
	p.mutex.Unlock()
	if known {
		return
	}
	others := slices.DeleteFunc(p.peers.alive(now), func(process string) bool { return process == p.peers.process })
	answered := p.firstOf(ctx, others, asked, func(ctx context.Context, from string) error {
		var state evacuation.State
		if err := p.peers.call(ctx, from, callEvacuations, nil, &state); err != nil {
			return err
		}
		p.learnEvacuations(from, func(list *evacuation.List) { list.Read(time.Now(), &state) })
		return nil
	})
	if answered || len(others) == 0 || now.Sub(p.Started) < p.front.Bounds().Evacuate {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.evacuations.list.Known() {
		p.evacuations.assumed = true
		p.setEvacuated(nil, nil, "")
	}
}
