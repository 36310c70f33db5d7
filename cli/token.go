package cli

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
)

// tokenBytes is the number of random bytes in a token, before base64 encoding.
const tokenBytes = 32

// tokenCommand generates a bearer token for an organisation and its SHA-256 hash.
// The declarations contain only the hash.
type tokenCommand struct{ asJSON bool }

func (*tokenCommand) Name() string     { return "token" }
func (*tokenCommand) Synopsis() string { return "make a bearer token and the hash to declare" }

func (*tokenCommand) Usage() string {
	return `token [-json]
  Prints a new random bearer token and its SHA-256 hash. Give the token to the
  organisation and write the hash into its declaration. The token is not kept.
`
}

func (c *tokenCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.asJSON, "json", false, "print the result as one JSON object")
}

// tokenResult is the JSON output of token.
type tokenResult struct {
	Token  string `json:"token"`
	SHA256 string `json:"token_sha256"`
}

func (c *tokenCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	raw := make([]byte, tokenBytes)
	if _, err := rand.Read(raw); err != nil {
		return fail(exitFailure, trace.Wrap(err))
	}
	token := base64.RawURLEncoding.EncodeToString(raw)
	sum := sha256.Sum256([]byte(token))
	result := tokenResult{Token: token, SHA256: hex.EncodeToString(sum[:])}
	if !c.asJSON {
		fmt.Printf("token:        %s\ntoken_sha256: %s\n", result.Token, result.SHA256)
		return exitOK
	}
	if err := writeJSON(os.Stdout, result); err != nil {
		return fail(exitFailure, trace.Wrap(err))
	}
	return exitOK
}
