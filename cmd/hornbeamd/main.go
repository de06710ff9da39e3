// Hornbeamd is the daemon of hornbeamrack. Its settings file selects its roles:
// node, control host, or both.
//
// # Usage
//
//	hornbeamd run --settings /etc/hornbeam.yaml
//	hornbeamd check --settings /etc/hornbeam.yaml
package main

import (
	"os"

	"github.com/hornbeamrack/hornbeamrack/commands"
)

func main() {
	os.Exit(commands.Daemon(os.Args[1:]))
}
