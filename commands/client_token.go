package commands

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/hornbeamrack/hornbeamrack/process/controller"
)

const tokenBytes = 24

// tokenCommand prints a new random team token and its hash.
type tokenCommand struct{}

// Execute implements flags.Commander: it prints a random token and its hash, or returns an
// error of KindFailure.
func (c *tokenCommand) Execute([]string) error {
	b := make([]byte, tokenBytes)
	if _, err := rand.Read(b); err != nil {
		return &Error{"token", KindFailure, err}
	}
	token := hex.EncodeToString(b)
	fmt.Printf("token:     %s\ntokenHash: %s\n", token, controller.HashToken(token))
	return nil
}
