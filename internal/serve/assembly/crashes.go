package assembly

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
)

const (
	// crashPause is kept between two messages on crashes.
	crashPause = 300 * time.Millisecond
	// compareInterval is how often a process that knows of crashes, or has just started,
	// compares what it knows with another one.
	compareInterval = 500 * time.Millisecond
	// compareTime is how long after its start a process does so in any case.
	compareTime = 5 * time.Second
	// trialTimeout bounds the wait for a trial: two calls to the store, and the way.
	trialTimeout = 1200 * time.Millisecond
	// bansKey is the store's key of the evidence that bans rest on.
	bansKey = "bans"
	// bansInterval is how often it is written while there are bans.
	bansInterval = 8 * time.Second
	// bansPause is how often a change of the bans is looked for.
	bansPause = 500 * time.Millisecond
	// bansWriters is how many processes write it.
	bansWriters = 2
)

// crashParams is what a process tells another one on crashes. With Compare set, the answer
// holds all that the other one knows, unless the digests are the same.
type crashParams struct {
	Evidence suspect.Evidence `json:"evidence"`
	Compare  bool             `json:"compare,omitempty"`
	Digest   uint64           `json:"digest,omitempty"`
}

// crashResult is what a process answers.
type crashResult struct {
	Evidence suspect.Evidence `json:"evidence"`
	Digest   uint64           `json:"digest,omitempty"` // if the digests were to be compared
}

// trialParams is a request that may be sent as the trial of a ban.
type trialParams struct {
	ID        string                `json:"id"`
	Workspace string                `json:"workspace,omitempty"`
	Request   suspect.Fingerprint   `json:"request"`
	Parts     []suspect.Fingerprint `json:"parts,omitempty"`
}

// trialResult says whether it may.
type trialResult struct {
	Granted  bool             `json:"granted"`
	Evidence suspect.Evidence `json:"evidence"`
}

// keptBans is the entry of the store.
type keptBans struct {
	At       time.Time        `json:"at"` // by the processes' agreed clock
	Evidence suspect.Evidence `json:"evidence"`
}

// formerOutcome is what processes of former builds tell of a request: the server that it
// broke off on, or none if it was answered.
type formerOutcome struct {
	Request suspect.Fingerprint `json:"mark"`
	Server  string              `json:"server,omitempty"`
	At      time.Time           `json:"at"`
}

func evidenceOf(now time.Time, outcomes []formerOutcome) suspect.Evidence {
	var evidence suspect.Evidence
	for _, one := range outcomes {
		age := suspect.Age(now.Sub(one.At))
		if one.Server == "" {
			evidence.Successes = append(evidence.Successes, suspect.Success{Subject: one.Request, Age: age})
			continue
		}
		id, _ := one.Request.MarshalText() // never fails
		evidence.Failures = append(evidence.Failures, suspect.Failure{
			ID: string(id) + "/" + one.Server + "/" + one.At.UTC().Format(time.RFC3339Nano), Server: one.Server, Request: one.Request, Age: age,
		})
	}
	return evidence
}

// heardCrashes takes in what another process tells.
func (p *Front) heardCrashes(_ context.Context, told crashParams) (any, error) {
	now := time.Now()
	result := crashResult{Evidence: p.front.Told(now, told.Evidence)}
	if told.Compare {
		var known suspect.Evidence
		if known, result.Digest = p.front.Evidence(now); result.Digest != told.Digest {
			result.Evidence = known
		}
	}
	return result, nil
}

// tellCrashes tells all others what this process has seen of crashes.
func (p *Front) tellCrashes(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, crashPause)
		evidence := p.front.Untold(time.Now())
		if evidence.Empty() {
			continue
		}
		// Encoded once for all.
		batches, err := encodeCrashes(evidence)
		if err != nil {
			return err
		}
		p.eachPeer(time.Now(), func(process string) error { return p.sendCrashes(ctx, process, batches) })
	}
	return nil
}

// compareCrashes compares with one process after another, at random, what each knows: what
// one was told while it could not be reached comes to it from any that knows it.
func (p *Front) compareCrashes(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, compareInterval)
		now := time.Now()
		digest := p.front.EvidenceDigest(now)
		if digest == 0 && now.Sub(p.Started) > compareTime {
			continue
		}
		alive := p.peers.alive(now)
		other := alive[rand.IntN(len(alive))]
		if other == p.peers.process {
			continue
		}
		if err := p.compareWith(ctx, other, digest); err != nil {
			p.Log.Write(event.PeerFailed, zap.String("peer", other), zap.Error(err))
		}
	}
	return nil
}

func (p *Front) compareWith(ctx context.Context, other string, digest uint64) error {
	var known crashResult
	made, err := p.peers.callInPieces(ctx, other, callCrashes, crashParams{Compare: true, Digest: digest}, &known)
	if err != nil || known.Digest == digest {
		return err
	}
	p.front.Told(made, known.Evidence)
	if digest == 0 {
		return nil // nothing that the other one might lack
	}
	own, _ := p.front.Evidence(time.Now())
	batches, err := encodeCrashes(own)
	if err != nil {
		return err
	}
	return p.sendCrashes(ctx, other, batches)
}

// encodeCrashes returns the calls that tell of evidence.
func encodeCrashes(evidence suspect.Evidence) ([]json.RawMessage, error) {
	var encoded []json.RawMessage
	for _, batch := range evidence.Batches() {
		params, err := json.Marshal(crashParams{Evidence: batch})
		if err != nil {
			return nil, errors.WithStack(err)
		}
		encoded = append(encoded, params)
	}
	return encoded, nil
}

// sendCrashes makes calls that tell of evidence, and takes in what is known to their contrary.
func (p *Front) sendCrashes(ctx context.Context, process string, batches []json.RawMessage) error {
	for _, params := range batches {
		var reply crashResult
		if err := p.peers.call(ctx, process, callCrashes, params, &reply); err != nil {
			return err
		}
		p.front.Told(time.Now(), reply.Evidence)
	}
	return nil
}

// askTrial asks for a trial of a ban.
func (p *Front) askTrial(ctx context.Context, ban *suspect.Ban, id string, candidate *suspect.Candidate) bool {
	grantor := ban.Grantor(p.peers.alive(time.Now()))
	if grantor == p.peers.process {
		_, granted := p.grantTrial(ctx, id, candidate)
		return granted
	}
	var result trialResult
	params := trialParams{ID: id, Workspace: candidate.Workspace, Request: candidate.Request, Parts: candidate.Parts}
	if err := p.peers.callWithin(ctx, trialTimeout, grantor, callTrial, params, &result); err != nil {
		p.Log.Write(event.PeerFailed, zap.String("peer", grantor), zap.Error(err))
		return false
	}
	p.front.Told(time.Now(), result.Evidence)
	return result.Granted
}

// decideTrial answers askTrial.
func (p *Front) decideTrial(ctx context.Context, asked trialParams) (any, error) {
	candidate := suspect.Candidate{Workspace: asked.Workspace, Request: asked.Request, Parts: asked.Parts}
	evidence, granted := p.grantTrial(ctx, asked.ID, &candidate)
	return trialResult{Granted: granted, Evidence: evidence}, nil
}

// grantTrial grants a trial if one is due. Processes that can't reach each other may each be
// the one that grants; the store has what all of them have granted, and is read before and
// written by a condition. Without the store, only those with most of the others decide.
func (p *Front) grantTrial(ctx context.Context, id string, candidate *suspect.Candidate) (suspect.Evidence, bool) {
	p.granting.Lock()
	defer p.granting.Unlock()
	revision, err := p.readBans(ctx)
	now := time.Now()
	evidence, granted := p.front.OfferTrial(now, id, candidate)
	if evidence.Empty() {
		return evidence, granted
	}
	if err == nil {
		err = p.writeBans(ctx, now, revision, evidence.Trials...)
	}
	if err != nil {
		granted = errors.Is(err, chicoryrock.ErrUnavailable) && 2*len(p.peers.alive(time.Now())) > p.peers.members(time.Now())
	}
	p.Log.Write(event.TrialGranted, zap.String("trial", id), zap.String("workspace", candidate.Workspace), zap.Bool("granted", granted))
	if errors.Is(err, chicoryrock.ErrConflict) {
		return suspect.Evidence{}, false // the store doesn't have it
	}
	p.front.RecordTrials(now, evidence)
	return evidence, granted
}

// rememberBans keeps the evidence that bans rest on in the store, and takes it over at the
// start: it outlives the loss of all processes.
func (p *Front) rememberBans(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, err := p.readBans(ctx); err == nil {
			break
		}
		pause.For(ctx, joinPause)
	}
	var written time.Time
	var known uint64
	for ctx.Err() == nil {
		pause.For(ctx, bansPause)
		now := time.Now()
		kept := p.front.KeptEvidence(now)
		present := kept.Digest()
		if kept.Empty() || present == known && now.Sub(written) < bansInterval || !p.writesBans(now) {
			continue
		}
		revision, err := p.readBans(ctx)
		if err == nil {
			err = p.writeBans(ctx, now, revision)
		}
		if err == nil {
			written, known = now, present
		}
	}
	return nil
}

// readBans takes over what the store keeps, and returns its revision; zero if it keeps
// nothing.
func (p *Front) readBans(ctx context.Context) (uint64, error) {
	entry, err := p.store.Get(ctx, bansKey)
	if errors.Is(err, chicoryrock.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var kept keptBans
	if err := json.Unmarshal(entry.Value, &kept); err != nil {
		p.Log.Write(event.BansLost, zap.Error(err))
		return entry.Revision, nil // it is written over
	}
	now := time.Now()
	p.front.Told(now, kept.Evidence.Aged(max(p.clock.True(now).Sub(kept.At), 0)))
	return entry.Revision, nil
}

// writeBans writes what is worth keeping to the store, with trials that are not recorded yet,
// unless another process has written since a revision.
func (p *Front) writeBans(ctx context.Context, now time.Time, revision uint64, offered ...suspect.Trial) error {
	kept := p.front.KeptEvidence(now)
	kept.Trials = append(kept.Trials, offered...)
	value, err := json.Marshal(keptBans{p.clock.True(now), kept})
	if err == nil {
		_, err = p.store.Commit(ctx, []chicoryrock.Change{{Key: bansKey, Value: value, PriorRevision: revision}})
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, chicoryrock.ErrConflict) {
		p.Log.Write(event.BansLost, zap.Error(err))
	}
	return err
}

// writesBans says whether this process is one of those that keep the bans in the store.
func (p *Front) writesBans(now time.Time) bool {
	for i, process := range p.peers.alive(now) {
		if i < bansWriters && process == p.peers.process {
			return true
		}
	}
	return false
}
