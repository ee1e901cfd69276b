package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"

	"eelgrassladder.example/eelgrassladder/gen/http/operator/client"
	generated "eelgrassladder.example/eelgrassladder/gen/operator"
	"eelgrassladder.example/eelgrassladder/internal/host/command"
	"eelgrassladder.example/eelgrassladder/internal/host/password"
	"eelgrassladder.example/eelgrassladder/internal/model/configuration"
)

// callTime bounds one call to a proxy.
const callTime = 10 * time.Second

// access is how a command reaches one proxy as an operator.
type access struct {
	Operator  string `long:"operator" required:"true" value-name:"ADDRESS" description:"Operator address of a proxy, an IP number and a port"`
	TokenFile string `long:"token-file" required:"true" value-name:"FILE" description:"File with the operators' token"`
}

// open returns a client of the proxy and the token.
func (a access) open() (*generated.Client, string, error) {
	token, err := readToken(a.TokenFile)
	if err != nil {
		return nil, "", err
	}
	return operatorClient(a.Operator), token, nil
}

// readToken reads the operators' token.
func readToken(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", command.UsageError(err.Error())
	}
	return strings.TrimSpace(string(text)), nil
}

// operatorClient returns a client of a proxy.
func operatorClient(address string) *generated.Client {
	h := client.NewClient("http", address, &http.Client{Timeout: callTime},
		goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return generated.NewClient(h.Configuration(), h.History(), h.Configure(), h.Groups(), h.Burn())
}

// configureCommand reads and sets the configuration.
type configureCommand struct {
	Get     getCommand     `command:"get" description:"Print the configuration in force at a proxy; its version goes to standard error"`
	Put     putCommand     `command:"put" description:"Propose a configuration that was based on a version"`
	History historyCommand `command:"history" description:"List the versions that a proxy has seen in force"`
}

// getCommand prints the configuration in force.
type getCommand struct{ access }

// Execute prints the text and the version.
func (c *getCommand) Execute([]string) error {
	proxy, token, err := c.open()
	if err != nil {
		return err
	}
	v, err := proxy.Configuration(context.Background(), &generated.ConfigurationPayload{Token: &token})
	if err != nil {
		return describe(err)
	}
	fmt.Print(v.Text)
	fmt.Fprintf(os.Stderr, "Version: %d\n", v.Version)
	return nil
}

// putCommand proposes a configuration.
type putCommand struct {
	access
	Based     uint64 `long:"based" required:"true" value-name:"VERSION" description:"Version that the change was based on; 0 for the first"`
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute checks the file here, proposes it, and prints the version.
func (c *putCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Arguments.File)
	if err != nil {
		return command.UsageError(err.Error())
	}
	if _, findings := configuration.Parse(c.Arguments.File, text); len(findings) > 0 {
		return command.UsageError(findings.Err().Error())
	}
	proxy, token, err := c.open()
	if err != nil {
		return err
	}
	var change [16]byte
	if _, err := rand.Read(change[:]); err != nil {
		return errors.WithStack(err)
	}
	v, err := proxy.Configure(context.Background(), &generated.ConfigurePayload{
		Token: &token, Based: c.Based, Text: string(text), ChangeID: hex.EncodeToString(change[:]),
	})
	if err != nil {
		return describe(err)
	}
	fmt.Printf("Version: %d\n", v.Version)
	return nil
}

// historyCommand lists versions.
type historyCommand struct{ access }

// Execute prints a line for each version.
func (c *historyCommand) Execute([]string) error {
	proxy, token, err := c.open()
	if err != nil {
		return err
	}
	all, err := proxy.History(context.Background(), &generated.HistoryPayload{Token: &token})
	if err != nil {
		return describe(err)
	}
	for _, v := range all {
		fmt.Printf("%d\t%s\t%d bytes\n", v.Version, v.ChangeID, len(v.Text))
	}
	return nil
}

// groupsCommand lists groups.
type groupsCommand struct{ access }

// Execute prints each group and its members.
func (c *groupsCommand) Execute([]string) error {
	proxy, token, err := c.open()
	if err != nil {
		return err
	}
	all, err := proxy.Groups(context.Background(), &generated.GroupsPayload{Token: &token})
	if err != nil {
		return describe(err)
	}
	for _, g := range all {
		if len(g.Members) == 0 {
			fmt.Printf("%s\tOwner=%s\t(its owner observes its members)\n", g.Name, g.Owner)
			continue
		}
		fmt.Printf("%s\tOwner=%s\tTerm=%d\tPrimary=%s\tServing=%t\n", g.Name, g.Owner, g.Term, g.Primary, g.Serving)
		for _, m := range g.Members {
			fmt.Printf("  %s\t%s\t%s\tTerm=%d\tReceived=%d\tApplied=%d\tReachable=%t\tLeaving=%t\n",
				m.Name, m.DataCentre, m.Role, m.Term, m.Received, m.Applied, m.Reachable, m.Leaving)
		}
	}
	return nil
}

// verifierCommand makes a verifier.
type verifierCommand struct{}

// Execute reads a password and prints its verifier.
func (*verifierCommand) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && line == "" {
		return command.UsageError("no password on standard input")
	}
	v, err := password.NewVerifier(strings.TrimRight(line, "\r\n"))
	if err != nil {
		return err
	}
	fmt.Println(v)
	return nil
}

// describe gives the generated errors their text.
func describe(err error) error {
	var invalid generated.Invalid
	var conflict generated.Conflict
	var unknown generated.Unknown
	var unauthorized generated.Unauthorized
	switch {
	case errors.As(err, &invalid):
		return errors.New(strings.Join(invalid, "\n"))
	case errors.As(err, &conflict):
		return errors.New(string(conflict))
	case errors.As(err, &unknown):
		return errors.New(string(unknown))
	case errors.As(err, &unauthorized):
		return errors.New(string(unauthorized))
	default:
		return err
	}
}
