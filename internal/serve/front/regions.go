package front

import (
	"slices"

	"github.com/chicoryrock/chicoryrock/internal/state/routing"
)

// bind binds a call that is about to be sent to the regions that the configuration in force
// allows. The chosen backend server is checked against them later, but not the source of
// parts of the prompt.
func (c *call) bind() {
	regions := routing.AllowedRegions(c.route, c.workspace)
	if (regions == nil) == (c.request.Regions == nil) && slices.Equal(regions, c.request.Regions) {
		return
	}
	c.request.Regions, c.source = regions, ""
}
