package object

// target is what a caller asks for: a model or a plain service.
type target struct {
	kind string
	name string
}

func (r *Route) target() target {
	if r.Service != "" {
		return target{"service", r.Service}
	}
	return target{"model", r.Model}
}

func (c *checker) checkRoutes() {
	models := map[string]string{}
	for _, pool := range c.set.Pools {
		models[pool.Name] = pool.Model
	}
	for i := range c.set.Routes {
		route := &c.set.Routes[i]
		at := c.place(KindRoute, i, route.Name)
		c.checkTarget(at, route)
		c.refer(at, "class", KindClass, route.Class)
		c.expectf(len(route.Pools) > 0, at, "pools", "The route has no pool: list at least one in the field pools.")
		c.referAll(at, "pools", KindPool, route.Pools)
		c.referAll(at, "workspaces", KindWorkspace, route.Workspaces)
		for _, pool := range route.Pools {
			model, found := models[pool]
			if !found {
				continue
			}
			c.expectf(route.Model == "" || model != "", at, "pools", "The pool %q runs a plain service, not a model: set its field model or choose another pool.", shorten(pool))
			c.expectf(route.Service == "" || model == "", at, "pools", "The pool %q runs a model, not a plain service: clear its field model or choose another pool.", shorten(pool))
		}
	}
}

func (c *checker) checkTarget(at place, route *Route) {
	if (route.Model == "") == (route.Service == "") {
		c.faultf(at, "model", "The route must have either model or service: set exactly one of the two.")
		return
	}
	c.expectf(route.Model == "" || modelPattern.MatchString(route.Model), at, "model",
		"The model's name must have at most 128 letters, digits and . _ : / -: write the name that callers send.")
	c.expectf(route.Service == "" || namePattern.MatchString(route.Service), at, "service",
		"The service's name must have 1 to 63 lower-case letters, digits and hyphens: it stands in the path /svc/NAME/.")
}

// checkReach finds objects that no request can ever meet. They are faults, for
// an operator who declared them believes that they have an effect.
func (c *checker) checkReach() {
	c.checkShadows()
	classes, pools := map[string]bool{}, map[string]bool{}
	for _, route := range c.set.Routes {
		classes[route.Class] = true
		for _, pool := range route.Pools {
			pools[pool] = true
		}
	}
	for i, class := range c.set.Classes {
		c.expectf(classes[class.Name], c.place(KindClass, i, class.Name), fieldName,
			"No route uses this class: name it in a route or remove it.")
	}
	for i, pool := range c.set.Pools {
		c.expectf(pools[pool.Name], c.place(KindPool, i, pool.Name), fieldName,
			"No route uses this pool: name it in a route or remove it.")
	}
}

// checkShadows finds routes that another route hides. A route that names the
// workspace goes before one that is open to all, so these two may stand side by
// side; two of the same sort may not.
func (c *checker) checkShadows() {
	open := map[target]string{}
	named := map[target]map[string]string{}
	for i := range c.set.Routes {
		route := &c.set.Routes[i]
		at := c.place(KindRoute, i, route.Name)
		aim := route.target()
		if aim.name == "" {
			continue
		}
		if len(route.Workspaces) == 0 {
			other, taken := open[aim]
			c.expectf(!taken, at, aim.kind, "The route %q already serves this %s for all: remove one or limit it by workspaces.", shorten(other), aim.kind)
			open[aim] = route.Name
			continue
		}
		if named[aim] == nil {
			named[aim] = map[string]string{}
		}
		c.checkNamed(at, route, named[aim])
	}
	c.checkHidden(named)
}

func (c *checker) checkNamed(at place, route *Route, taken map[string]string) {
	for _, workspace := range route.Workspaces {
		other, found := taken[workspace]
		if found && other != route.Name {
			c.faultf(at, "workspaces", "The route %q already serves this %s for the workspace %q: keep one of the two.",
				shorten(other), route.target().kind, shorten(workspace))
		}
		taken[workspace] = route.Name
	}
}

// checkHidden finds routes that are open to all although each workspace has a
// route of its own to the same model or service.
func (c *checker) checkHidden(named map[target]map[string]string) {
	for i := range c.set.Routes {
		route := &c.set.Routes[i]
		aim := route.target()
		if aim.name == "" || len(route.Workspaces) > 0 || len(c.set.Workspaces) == 0 {
			continue
		}
		hidden := true
		for _, workspace := range c.set.Workspaces {
			_, own := named[aim][workspace.Name]
			hidden = hidden && own
		}
		c.expectf(!hidden, c.place(KindRoute, i, route.Name), fieldName,
			"Every workspace has a route of its own to this %s, so this one is never used: remove it.", aim.kind)
	}
}

// floorSlack allows for the rounding of sums such as 0.1 + 0.2 + 0.7.
const floorSlack = 1e-9

// checkFloors makes sure that a pool can keep what it promises: the floors of
// all classes that reach it are shares of the same slots.
func (c *checker) checkFloors() {
	floors := map[string]float64{}
	for _, class := range c.set.Classes {
		floors[class.Name] = class.Floor
	}
	reach := map[string]map[string]bool{}
	for _, route := range c.set.Routes {
		for _, pool := range route.Pools {
			if reach[pool] == nil {
				reach[pool] = map[string]bool{}
			}
			reach[pool][route.Class] = true
		}
	}
	for i, pool := range c.set.Pools {
		sum := 0.0
		for class := range reach[pool.Name] {
			sum += floors[class]
		}
		c.expectf(sum <= 1+floorSlack, c.place(KindPool, i, pool.Name), fieldName,
			"The floors of the classes that reach this pool add up to more than 1: lower them or take a class off the pool.")
	}
}
