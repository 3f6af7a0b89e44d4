package measure

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
)

const (
	models = 19
	tiers  = 7
	// engineModel is what all engines call their model.
	engineModel = "garland"
	// slots is how many streams one backend server runs at once.
	slots = 1000
)

func poolName(i int) string      { return fmt.Sprintf("pool-%02d", i) }
func modelName(i int) string     { return fmt.Sprintf("model-%02d", i) }
func workspaceName(i int) string { return fmt.Sprintf("workspace-%03d", i) }

// secretOf returns the secret of a workspace's first or second key.
func secretOf(workspace, key int) string { return fmt.Sprintf("ck-measure-%d-%d", workspace, key) }

// newSet makes a configuration with so many workspaces.
func newSet(workspaces int) *object.Set {
	set := &object.Set{}
	for i := range workspaces {
		name := workspaceName(i)
		set.Workspaces = append(set.Workspaces, object.Workspace{Name: name, Share: 1})
		for key := range 2 {
			set.Keys = append(set.Keys, object.Key{
				Name: fmt.Sprintf("%s-key-%d", name, key), Workspace: name, Digest: object.Digest(secretOf(i, key)),
			})
		}
	}
	for i := range tiers {
		set.Classes = append(set.Classes, object.Class{
			Name: fmt.Sprintf("class-%d", i+1), Tier: i + 1, First: 20 * time.Second, Token: time.Second, Goal: 0.95,
		})
	}
	for i := range models {
		set.Pools = append(set.Pools, object.Pool{Name: poolName(i), Model: engineModel, Slots: slots, Max: 1000})
		set.Routes = append(set.Routes, object.Route{
			Name: modelName(i), Model: modelName(i), Class: set.Classes[i%tiers].Name, Pools: []string{poolName(i)}, Repeat: true,
		})
	}
	return set
}

// prepare lists the fleet, publishes a configuration and waits for all of it.
func (m *Measure) prepare(ctx context.Context) error {
	list, err := json.Marshal(m.Fleet.vms(m.Ghosts))
	if err != nil {
		return errors.WithStack(err)
	}
	// The stand-ins may have been started a moment ago.
	err = await(ctx, readyPoll, func() (bool, error) {
		err := exchange(ctx, http.MethodPost, m.Fleet.of(roleVMs)[0].Listen, "/vms", string(list), nil)
		return err == nil, err
	})
	if err != nil {
		return err
	}
	var revision uint64
	err = await(ctx, readyPoll, func() (bool, error) {
		var err error
		revision, err = m.publish(ctx, newSet(m.Workspaces))
		return err == nil, err
	})
	if err != nil {
		return err
	}
	for _, process := range m.Fleet.own() {
		if err := process.awaitRevision(ctx, revision, readyPoll); err != nil {
			return err
		}
	}
	// An entry reads the list of VMs every second.
	return sleep(ctx, settle)
}

// publish puts a set in force and returns its revision.
func (m *Measure) publish(ctx context.Context, set *object.Set) (uint64, error) {
	publisher := publish.Publisher{Store: m.Fleet.store()}
	head, err := publisher.Publish(ctx, time.Now(), publish.Publication{ID: rand.Text()}, set)
	return head.Revision, err
}

// changed is the configuration after a change of one object.
func changed(workspaces, number int) *object.Set {
	set := newSet(workspaces)
	set.Workspaces[number%workspaces].Share = float64(number + 1)
	return set
}
