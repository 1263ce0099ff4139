package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/caller"
	"sniperill.example/sniperill/pkg/operator"
	"sniperill.example/sniperill/pkg/shop"
)

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print one JSON object"} }

// clientFlags returns the flags that all commands that call an entry have, followed by more.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "`URL` of the balancer or of an entry", Sources: cli.EnvVars("SNIPERILL_ENTRY")},
		&cli.StringFlag{Name: "ca", Usage: "`FILE` with the authority's certificate (default: the system's)", Sources: cli.EnvVars("SNIPERILL_CA")},
		&cli.StringFlag{Name: "token", Usage: "`FILE` with the token", Sources: cli.EnvVars("SNIPERILL_TOKEN")},
		jsonFlag(),
	}, more...)
}

// target is the entry that a client command calls, and the credentials for it.
type target struct {
	url   string
	token string
	tls   *tls.Config
}

// Errors in the arguments of a client command.
var (
	errNoEntry       = errors.New("no entry given: set --entry or SNIPERILL_ENTRY")
	errNoToken       = errors.New("no token file given: set --token or SNIPERILL_TOKEN")
	errNoCertificate = errors.New("contains no certificate")
	errArgCount      = errors.New("wrong number of arguments")
)

func targetOf(c *cli.Command) (target, error) {
	t := target{url: c.String("entry")}
	if t.url == "" {
		return t, errNoEntry
	}
	if c.String("token") == "" {
		return t, errNoToken
	}
	token, err := os.ReadFile(c.String("token"))
	if err != nil {
		return t, err
	}
	t.token = strings.TrimSpace(string(token))
	if file := c.String("ca"); file != "" {
		t.tls, err = readCATLSConfig(file)
	}
	return t, err
}

// readCATLSConfig returns a TLS configuration that trusts only the authority in the file.
func readCATLSConfig(file string) (*tls.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s: %w", file, errNoCertificate)
	}
	return &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}, nil
}

// asOperator returns the action of an operators' command with the given number of arguments.
func asOperator(args int, run func(context.Context, *cli.Command, *operator.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.Args().Len() != args {
			return fmt.Errorf("%s: %w: usage: %s %s", c.Name, errArgCount, c.Name, c.ArgsUsage)
		}
		t, err := targetOf(c)
		if err != nil {
			return trace.Wrap(err)
		}
		client := &operator.Client{URL: t.url, Token: t.token, TLS: t.tls}
		client.Open()
		ctx, _, stop := signals(ctx)
		defer stop()
		return run(ctx, c, client)
	}
}

// asCaller returns the action of a callers' command. The client reports a request that it
// could not send as not run.
func asCaller(minArgs, maxArgs int, run func(context.Context, *cli.Command, *caller.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if n := c.Args().Len(); n < minArgs || n > maxArgs {
			return fmt.Errorf("%s: %w: usage: %s %s", c.Name, errArgCount, c.Name, c.ArgsUsage)
		}
		t, err := targetOf(c)
		if err != nil {
			return trace.Wrap(err)
		}
		client := &caller.Client{URL: t.url, Token: t.token, TLS: t.tls}
		client.Open()
		ctx, _, stop := signals(ctx)
		defer stop()
		return run(ctx, c, client)
	}
}

// currentConfig returns the configuration in force, or an empty one if none was applied.
func currentConfig(ctx context.Context, client *operator.Client) (operator.Config, error) {
	current, err := client.Config(ctx)
	if errors.Is(err, shop.ErrNotFound) {
		return operator.Config{}, nil
	}
	return current, err
}
