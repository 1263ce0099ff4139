package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"unicode/utf8"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/caller"
	"sniperill.example/sniperill/pkg/shop"
)

const helpCall = `Sends one request to a backend server that serves the class, and prints the body of
its answer. BODY is the argument, or the standard input for "-".

    sniperill call price-quote 'chalk, 40 boxes'
    sniperill call place-order --idempotency-key order-17 - < order.json

Exit status: 0 the backend server answered, 1 an error, 2 not run (it did not run
and never will), 3 may have run (it is unknown whether it ran). Requests with the
same --idempotency-key run at most once, however often they are sent.`

func callCommand() *cli.Command {
	return &cli.Command{
		Name:        "call",
		Usage:       "send a request to a backend server",
		Description: helpCall,
		ArgsUsage:   "CLASS [BODY|-]",
		Flags: clientFlags(
			&cli.StringFlag{Name: "id", Usage: "id of the request (default: a new one)"},
			&cli.StringFlag{Name: "idempotency-key", Usage: "`KEY` under which the request runs at most once"},
			&cli.StringFlag{Name: "content-type", Value: "text/plain", Usage: "type of the body"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long to wait (default: the class's deadline)"},
		),
		Action: asCaller(1, 2, runCall),
	}
}

// callResult is the result of "call" as JSON.
type callResult struct {
	ID          string        `json:"id"`
	Outcome     string        `json:"outcome"`
	Status      int           `json:"status,omitempty"`
	ContentType string        `json:"content-type,omitempty"`
	Agent       string        `json:"agent,omitempty"`
	Reason      string        `json:"reason,omitempty"`
	RetryAfter  shop.Duration `json:"retry-after,omitempty"`
	// Body is the body if it is valid UTF-8; otherwise BodyBase64 is set.
	Body       string `json:"body,omitempty"`
	BodyBase64 []byte `json:"body-base64,omitempty"`
}

func runCall(ctx context.Context, c *cli.Command, client *caller.Client) error {
	body, err := readBody(c.Args().Get(1))
	if err != nil {
		return trace.Wrap(err)
	}
	if timeout := c.Duration("timeout"); timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	answer, err := client.Call(ctx, caller.Request{
		ID: c.String("id"), Class: c.Args().First(), ContentType: c.String("content-type"),
		Body: body, IdempotencyKey: c.String("idempotency-key"),
	})
	if c.Bool("json") {
		return errors.Join(err, printJSON(c.Writer, newCallResult(answer, err)))
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if answer.Status >= 400 {
		fmt.Fprintf(os.Stderr, "sniperill: the backend server answered with status %d\n", answer.Status)
	}
	_, err = c.Writer.Write(answer.Body)
	return trace.Wrap(err)
}

// readBody returns the argument, or the standard input for "-".
func readBody(argument string) ([]byte, error) {
	if argument == "-" {
		return io.ReadAll(os.Stdin)
	}
	return []byte(argument), nil
}

func newCallResult(a caller.Answer, err error) callResult {
	out := callResult{
		ID: a.ID, Outcome: string(a.Outcome), Status: a.Status, ContentType: a.ContentType,
		Agent: a.Agent, Reason: a.Reason, RetryAfter: shop.Duration(a.RetryAfter),
	}
	if out.Outcome == "" {
		out.Outcome, out.Reason = outcomeOf(err), err.Error()
	}
	if utf8.Valid(a.Body) {
		out.Body = string(a.Body)
	} else {
		out.BodyBase64 = a.Body
	}
	return out
}
