package commands

import "github.com/jessevdk/go-flags"

// daemonOptions are the options of every hornbeamd command.
type daemonOptions struct {
	Settings string `short:"s" long:"settings" description:"Settings file" default:"hornbeam.yaml" value-name:"FILE"`
}

// Daemon runs hornbeamd with args, which exclude the program name, and returns its
// exit code.
func Daemon(args []string) int {
	var o daemonOptions
	p := flags.NewNamedParser("hornbeamd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		panic(err)
	}
	mustAdd(p, "run", "Run the process",
		"Runs the roles that the settings name until SIGTERM or SIGINT, then stops without interrupting a request.\n\nExample:\n  hornbeamd run --settings /etc/hornbeam.yaml", &runCommand{options: &o})
	mustAdd(p, "check", "Check the settings without starting",
		"Reads the settings and prints each fault with file, line, column and how to correct it.\n\nExample:\n  hornbeamd check --settings /etc/hornbeam.yaml", &checkCommand{options: &o})
	return runParser(p, args)
}
