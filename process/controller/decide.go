package controller

import (
	"context"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// observe takes in what a node saw of target versions.
func (c *Controller) observe(list []applier.Evidence) {}

// decide advances moves while this host leads.
func (c *Controller) decide(ctx context.Context) { <-ctx.Done() }
