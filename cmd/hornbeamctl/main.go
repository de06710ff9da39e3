// Hornbeamctl is the operators' client of hornbeamrack.
package main

import (
	"os"

	"github.com/hornbeamrack/hornbeamrack/commands"
)

func main() {
	os.Exit(commands.Client(os.Args[1:]))
}
