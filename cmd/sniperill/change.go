package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/operator"
	"sniperill.example/sniperill/pkg/shop"
)

const helpChange = `Sets or removes one object of the configuration: a team, a class, a backend server
or the policy. FILE holds the object as JSON; "-" reads the standard input.

    sniperill change team quotes quotes.json
    sniperill change class price-quote --remove
    sniperill change policy default policy.json

There is only one policy, so its name is ignored. Make the same change in your
configuration folder: the next "apply" sets everything to what the folder says.`

var errChangeArgs = errors.New("change: give either a FILE or --remove")

func changeCommand() *cli.Command {
	return &cli.Command{
		Name:        "change",
		Usage:       "set or remove one object of the configuration",
		Description: helpChange,
		Commands: []*cli.Command{
			changeKindCommand("team"), changeKindCommand("class"), changeKindCommand("backend-server"), changeKindCommand("policy"),
		},
	}
}

func changeKindCommand(kind string) *cli.Command {
	run := func(ctx context.Context, c *cli.Command, client *operator.Client) error {
		return runChange(ctx, c, client, kind)
	}
	return &cli.Command{
		Name:      kind,
		Usage:     "set or remove a " + kind,
		ArgsUsage: "NAME [FILE|--remove]",
		Flags:     clientFlags(baseFlag(), &cli.BoolFlag{Name: "remove", Usage: "remove it"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if (c.Args().Len() == 2) == c.Bool("remove") {
				return errChangeArgs
			}
			return asOperator(c.Args().Len(), run)(ctx, c)
		},
	}
}

func runChange(ctx context.Context, c *cli.Command, client *operator.Client, kind string) error {
	o := operator.Object{Kind: kind, Name: c.Args().First()}
	if !c.Bool("remove") {
		var err error
		if o.JSON, err = readInput(c.Args().Get(1)); err != nil {
			return trace.Wrap(err)
		}
		if !json.Valid(o.JSON) {
			return fmt.Errorf("change: %s: %w JSON", c.Args().Get(1), shop.ErrInvalid)
		}
	}
	return changeObject(ctx, c, client, o)
}

// changeObject changes one object of the configuration in force and prints what has changed.
func changeObject(ctx context.Context, c *cli.Command, client *operator.Client, o operator.Object) error {
	before, err := currentConfig(ctx, client)
	if err != nil {
		return trace.Wrap(err)
	}
	out := applyResult{Base: before.Version}
	if c.IsSet("base") {
		out.Base = c.Uint64("base")
	}
	out.Version, err = client.Change(ctx, o, out.Base, "")
	if err == nil {
		after, configErr := client.Config(ctx)
		if configErr != nil {
			return configErr
		}
		out.Changes = shop.Diff(before.Config, after.Config)
	}
	return printApplyResult(c, out, err)
}

// readInput reads a file, or the standard input for "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
