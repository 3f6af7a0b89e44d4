// Package transfer decides how a process gets a configuration from its peers: part by part,
// so that no call is long and nothing that has arrived is asked for again. It does no I/O and
// takes the present time as an argument.
package transfer

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
)

const (
	// firstBatch, leastBatch and mostBatch are how many bytes of parts one call asks for.
	firstBatch = 32 << 10
	leastBatch = 2 << 10
	mostBatch  = 256 << 10
	// callTime is how long a call is to take: batches grow while calls are shorter than half
	// of it, and shrink when they are longer.
	callTime = 120 * time.Millisecond
	// maxConfig is the longest configuration that is collected, bytes.
	maxConfig = 8 << 20
)

// PartRef names a part of a configuration.
type PartRef struct {
	Digest routing.PartDigest `json:"digest"`
	Length int                `json:"length"`
}

// Manifest names the parts of a configuration in their order.
type Manifest struct {
	Version uint64    `json:"version"`
	Parts   []PartRef `json:"parts"`
}

// ManifestOf returns the manifest of a table.
func ManifestOf(table *routing.Table) Manifest {
	manifest := Manifest{Version: table.Version, Parts: make([]PartRef, 0, len(table.Parts))}
	for i := range table.Parts {
		manifest.Parts = append(manifest.Parts, PartRef{table.Parts[i].Digest, len(table.Parts[i].Data)})
	}
	return manifest
}

// Collector collects the parts of a configuration, from any peers that have them. What has
// arrived is kept until a configuration without it is collected. The zero value is ready. It
// is not safe for concurrent use.
type Collector struct {
	target Manifest
	parts  map[routing.PartDigest][]byte // of the target; nil where one is missing
	batch  int
}

// Version returns the version that is being collected; zero for none.
func (c *Collector) Version() uint64 { return c.target.Version }

// Start turns to another configuration. Parts of the one in force, which may be nil, and those
// that have arrived are not asked for. Error: chicoryrock.ErrInvalid.
func (c *Collector) Start(manifest Manifest, inForce *routing.Table) error {
	length := 0
	for _, part := range manifest.Parts {
		if length += part.Length; part.Length <= 0 || part.Length > maxConfig || length > maxConfig {
			return errors.Wrapf(chicoryrock.ErrInvalid, "configuration %d of more than %d bytes", manifest.Version, maxConfig)
		}
	}
	if manifest.Version == 0 || length == 0 {
		return errors.Wrap(chicoryrock.ErrInvalid, "configuration without a version, or empty")
	}
	arrived := c.parts
	c.target, c.parts = manifest, make(map[routing.PartDigest][]byte, len(manifest.Parts))
	for _, part := range manifest.Parts {
		c.parts[part.Digest] = arrived[part.Digest]
	}
	if inForce == nil {
		return nil
	}
	for i := range inForce.Parts {
		part := &inForce.Parts[i]
		if _, wanted := c.parts[part.Digest]; wanted {
			c.parts[part.Digest] = part.Data
		}
	}
	return nil
}

// Stop forgets what was collected.
func (c *Collector) Stop() { c.target, c.parts = Manifest{}, nil }

// Wanted returns the parts that the next call is to ask for.
func (c *Collector) Wanted() []routing.PartDigest {
	if c.batch == 0 {
		c.batch = firstBatch
	}
	var wanted []routing.PartDigest
	asked := make(map[routing.PartDigest]bool)
	length := 0
	for _, part := range c.target.Parts {
		if c.parts[part.Digest] != nil || asked[part.Digest] {
			continue
		}
		if length += part.Length; len(wanted) > 0 && length > c.batch {
			break
		}
		wanted, asked[part.Digest] = append(wanted, part.Digest), true
	}
	return wanted
}

// Missing returns how many bytes are still to come.
func (c *Collector) Missing() int {
	missing := 0
	for _, part := range c.target.Parts {
		if c.parts[part.Digest] == nil {
			missing += part.Length
		}
	}
	return missing
}

// Add takes in the data of a part, and reports whether it is one that is missing.
func (c *Collector) Add(data []byte) bool {
	digest := routing.DigestOfPart(data)
	known, wanted := c.parts[digest]
	if !wanted || known != nil || len(data) == 0 {
		return false
	}
	c.parts[digest] = data
	return true
}

// Called takes in how long a call for parts took, and whether it brought any.
func (c *Collector) Called(took time.Duration, brought bool) {
	switch {
	case !brought || took > callTime:
		c.batch = max(c.batch/2, leastBatch)
	case took < callTime/2:
		c.batch = min(c.batch*2, mostBatch)
	}
}

// Text returns the text of the configuration once nothing of it is missing.
func (c *Collector) Text() ([]byte, bool) {
	if c.target.Version == 0 || c.Missing() > 0 {
		return nil, false
	}
	var text []byte
	for _, part := range c.target.Parts {
		text = append(text, c.parts[part.Digest]...)
	}
	return text, true
}
