package front

import (
	"slices"

	"go.uber.org/zap"

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

// regions is the field of the log for the regions that a call is bound to, none if it isn't.
func (c *call) regions() zap.Field {
	if c.request.Regions == nil {
		return zap.Skip()
	}
	return zap.Strings("regions", c.request.Regions)
}

// passed is a field of the log for how many backend servers were passed over, if any were.
func passed(why string, count int) zap.Field {
	if count == 0 {
		return zap.Skip()
	}
	return zap.Int(why, count)
}
