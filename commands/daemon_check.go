package commands

import (
	"fmt"

	"github.com/hornbeamrack/hornbeamrack/process/configurer"
)

// checkCommand validates the settings file without starting any role.
type checkCommand struct{ options *daemonOptions }

// Execute implements flags.Commander: it loads the settings and prints that they are valid, or
// returns an error of KindUsage.
func (c *checkCommand) Execute([]string) error {
	s, err := configurer.Load(c.options.Settings)
	if err != nil {
		return &Error{"check", KindUsage, err}
	}
	fmt.Printf("%s: settings of %s are valid, roles %v\n", c.options.Settings, s.Name, s.Roles)
	return nil
}
