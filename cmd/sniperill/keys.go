package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/keys"
)

const helpKeys = `Creates a development authority, and the certificates and tokens that it signs. The
processes of a system authenticate to each other with certificates; callers and
operators authenticate with tokens, and a caller's token binds it to its team.

    sniperill keys authority keys
    sniperill keys issue --folder keys --role entry entry-1 10.0.0.11
    sniperill keys token --folder keys --team quotes kapur
    sniperill keys token --folder keys --operator siti

Private keys and tokens are readable by their owner only. Nothing is overwritten.`

var (
	errKeysRole  = errors.New("keys issue: --role must be entry or agent")
	errKeysIssue = errors.New("keys issue: requires a name and at least one host")
	errKeysToken = errors.New("keys token: requires a name, and either --team or --operator")
	errKeysDir   = errors.New("keys authority: requires a folder")
)

func keysCommand() *cli.Command {
	folder := &cli.StringFlag{Name: "folder", Value: "keys", Usage: "folder of the authority"}
	return &cli.Command{
		Name:        "keys",
		Usage:       "create a development authority, certificates and tokens",
		Description: helpKeys,
		Commands: []*cli.Command{
			{Name: "authority", Usage: "create an authority", ArgsUsage: "FOLDER", Action: makeAuthority},
			{
				Name: "issue", Usage: "sign a certificate for a process", ArgsUsage: "NAME HOST...", Action: issuePair,
				Flags: []cli.Flag{folder, &cli.StringFlag{Name: "role", Usage: "entry or agent"}},
			},
			{
				Name: "token", Usage: "sign a token for a caller or an operator", ArgsUsage: "NAME", Action: issueToken,
				Flags: []cli.Flag{
					folder,
					&cli.StringFlag{Name: "team", Usage: "team that the caller is bound to"},
					&cli.BoolFlag{Name: "operator", Usage: "sign a token for an operator"},
					&cli.DurationFlag{Name: "lifetime", Value: upTokenLifetime, Usage: "how long the token is valid"},
				},
			},
		},
	}
}

func makeAuthority(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errKeysDir
	}
	a, err := keys.NewAuthority(time.Now())
	if err != nil {
		return trace.Wrap(err)
	}
	folder := keys.Folder(c.Args().First())
	if err := folder.WriteAuthority(a); err != nil {
		return trace.Wrap(err)
	}
	return printPaths(c, folder, keys.AuthorityFile, keys.AuthorityKeyFile)
}

func issuePair(_ context.Context, c *cli.Command) error {
	role := keys.Role(c.String("role"))
	if role != keys.RoleEntry && role != keys.RoleAgent {
		return errKeysRole
	}
	name, hosts := c.Args().First(), c.Args().Tail()
	if len(hosts) == 0 {
		return errKeysIssue
	}
	folder := keys.Folder(c.String("folder"))
	a, err := folder.Authority()
	if err != nil {
		return trace.Wrap(err)
	}
	pair, err := a.Issue(role, name, time.Now(), hosts...)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := folder.WritePair(name, pair); err != nil {
		return trace.Wrap(err)
	}
	return printPaths(c, folder, name+".pem", name+"-key.pem")
}

func issueToken(_ context.Context, c *cli.Command) error {
	name, team := c.Args().First(), c.String("team")
	if c.Args().Len() != 1 || (team != "") == c.Bool("operator") {
		return errKeysToken
	}
	p := keys.Principal{Role: keys.RoleCaller, Team: team, Name: name}
	if c.Bool("operator") {
		p.Role = keys.RoleOperator
	}
	folder := keys.Folder(c.String("folder"))
	a, err := folder.Authority()
	if err != nil {
		return trace.Wrap(err)
	}
	token, err := a.Token(p, time.Now(), c.Duration("lifetime"))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := folder.WriteToken(name, token); err != nil {
		return trace.Wrap(err)
	}
	return printPaths(c, folder, name+".token")
}

func printPaths(c *cli.Command, folder keys.Folder, names ...string) error {
	for _, name := range names {
		if _, err := fmt.Fprintln(c.Writer, folder.Path(name)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
