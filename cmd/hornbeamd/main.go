// Hornbeamd is the daemon of hornbeamrack; its settings say whether it is a
// node, a control host, or both.
package main

import (
	"os"

	"github.com/hornbeamrack/hornbeamrack/commands"
)

func main() {
	os.Exit(commands.Daemon(os.Args[1:]))
}
