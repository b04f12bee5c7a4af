package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/settings"
)

// treeTokenCommand returns the command that creates, replaces or removes an access token.
// The tree stores only the hash of the token's secret, which is printed once.
func treeTokenCommand(out io.Writer) *ffcli.Command {
	flags, o := operatorFlags("tree token", out)
	edit := addEditFlags(flags)
	role := flags.String("role", string(settings.RoleCall), "what the token may do: call, read, edit or administer")
	lifetime := flags.Duration("lifetime", 0, "how long the token holds, 0 for ever")
	remove := flags.Bool("remove", false, "remove the token instead")
	return operatorCommand("[flags] PATH NAME", "make, replace or remove an access token", flags, 2, 2, func(ctx context.Context, arguments []string) error {
		client, stamp, err := o.beginEdit(ctx)
		if err != nil {
			return err
		}
		change := settings.Change{Path: arguments[0]}
		if *remove {
			change.RemoveTokens = []string{arguments[1]}
			return o.commit(ctx, client, edit, stamp, []settings.Change{change})
		}
		secret := rand.Text()
		token := newToken(arguments[1], secret, settings.Role(*role), *lifetime)
		change.PutTokens = []settings.AccessToken{token}
		if err := o.commit(ctx, client, edit, stamp, []settings.Change{change}); err != nil || edit.dryRun {
			return err
		}
		_, err = fmt.Fprintln(o.out, "secret", secret)
		return err
	})
}

// newToken returns the stored form of a token. A lifetime of zero means that the token
// does not expire.
func newToken(name, secret string, role settings.Role, lifetime time.Duration) settings.AccessToken {
	hash := sha256.Sum256([]byte(secret))
	token := settings.AccessToken{Name: name, SHA256: hex.EncodeToString(hash[:]), Role: role}
	if lifetime > 0 {
		token.NotAfter = time.Now().Add(lifetime).UTC().Truncate(time.Second)
	}
	return token
}
