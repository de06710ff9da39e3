// Hornbeamctl is the command line client of hornbeamrack for operators.
//
// # Usage
//
//	hornbeamctl --address 10.0.0.1:7005 --token TOKEN status
//	hornbeamctl section list
//
// Addresses and token may also come from HORNBEAM_ADDRESS and HORNBEAM_TOKEN.
package main

import (
	"os"

	"github.com/hornbeamrack/hornbeamrack/commands"
)

func main() {
	os.Exit(commands.Client(os.Args[1:]))
}
