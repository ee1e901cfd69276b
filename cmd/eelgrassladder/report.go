package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	generated "eelgrassladder.example/eelgrassladder/gen/operator"
	"eelgrassladder.example/eelgrassladder/internal/host/report"
)

// reportCommand groups the reports.
type reportCommand struct {
	Burn burnCommand `command:"burn" description:"Report the use of error budgets by class and window, merged over proxies"`
}

// burnCommand reports the use of error budgets, as counted by several proxies.
type burnCommand struct {
	Operators []string `long:"operator" required:"true" value-name:"ADDRESS" description:"Operator address of a proxy; repeat for each"`
	TokenFile string   `long:"token-file" required:"true" value-name:"FILE" description:"File with the operators' token"`
	JSON      bool     `long:"json" description:"Print JSON"`
	Plot      string   `long:"plot" value-name:"FILE" description:"Also draw the burn rates into a PNG file"`
}

// Execute collects the counts of the proxies, and prints the merged report. It
// skips proxies whose counts cannot be read, whatever the reason, and fails if
// there are no others.
func (c *burnCommand) Execute([]string) error {
	token, err := readToken(c.TokenFile)
	if err != nil {
		return err
	}
	var counts []*generated.BurnCount
	silent := 0
	for _, address := range c.Operators {
		proxyCounts, err := operatorClient(address).Burn(context.Background(), &generated.BurnPayload{Token: &token})
		if err != nil {
			silent++
			fmt.Fprintf(os.Stderr, "skipping proxy %s, whose counts could not be read: %v\n", address, plainError(err))
			continue
		}
		counts = append(counts, proxyCounts...)
	}
	if silent == len(c.Operators) {
		return errors.Errorf("the counts of none of the %d proxies could be read", len(c.Operators))
	}
	b := report.MergeBurn(counts, len(c.Operators), silent)
	if c.Plot != "" {
		if err := b.Draw(c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return errors.WithStack(encoder.Encode(b))
	}
	return b.Write(os.Stdout)
}
