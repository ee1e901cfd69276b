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

// callTimeout bounds one call to a proxy.
const callTimeout = 10 * time.Second

// operatorAccess holds the flags with which a command connects to a proxy as
// an operator.
type operatorAccess struct {
	Operator  string `long:"operator" required:"true" value-name:"ADDRESS" description:"Operator address of a proxy, an IP address and a port"`
	TokenFile string `long:"token-file" required:"true" value-name:"FILE" description:"File with the operators' token"`
}

// open returns a client for the proxy and the operators' token.
func (a operatorAccess) open() (*generated.Client, string, error) {
	token, err := readToken(a.TokenFile)
	if err != nil {
		return nil, "", err
	}
	return operatorClient(a.Operator), token, nil
}

// readToken reads the operators' token from a file.
func readToken(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", command.UsageError(err.Error())
	}
	return strings.TrimSpace(string(text)), nil
}

// operatorClient returns a client for the proxy at an operator address.
func operatorClient(address string) *generated.Client {
	c := client.NewClient("http", address, &http.Client{Timeout: callTimeout},
		goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return generated.NewClient(c.Configuration(), c.History(), c.Configure(), c.Groups(), c.Burn())
}

// configureCommand groups the commands that read and change the configuration.
type configureCommand struct {
	Get     getCommand     `command:"get" description:"Print the current configuration of a proxy; its version goes to standard error"`
	Put     putCommand     `command:"put" description:"Propose a configuration that is based on a version"`
	History historyCommand `command:"history" description:"List the versions that a proxy has applied"`
}

// getCommand prints the current configuration.
type getCommand struct{ operatorAccess }

// Execute prints the configuration's text to standard output and its version to
// standard error.
func (c *getCommand) Execute([]string) error {
	proxy, token, err := c.open()
	if err != nil {
		return err
	}
	current, err := proxy.Configuration(context.Background(), &generated.ConfigurationPayload{Token: &token})
	if err != nil {
		return plainError(err)
	}
	fmt.Print(current.Text)
	fmt.Fprintf(os.Stderr, "Version: %d\n", current.Version)
	return nil
}

// putCommand proposes a new configuration.
type putCommand struct {
	operatorAccess
	Based     uint64 `long:"based" required:"true" value-name:"VERSION" description:"Version that the change is based on; 0 if there is none yet"`
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute checks the file locally, proposes it under a random change ID and
// prints the version that it got.
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
	var changeID [16]byte
	if _, err := rand.Read(changeID[:]); err != nil {
		return errors.WithStack(err)
	}
	accepted, err := proxy.Configure(context.Background(), &generated.ConfigurePayload{
		Token: &token, Based: c.Based, Text: string(text), ChangeID: hex.EncodeToString(changeID[:]),
	})
	if err != nil {
		return plainError(err)
	}
	fmt.Printf("Version: %d\n", accepted.Version)
	return nil
}

// historyCommand lists the versions of the configuration that a proxy has
// applied.
type historyCommand struct{ operatorAccess }

// Execute prints the version, change ID and size of each configuration.
func (c *historyCommand) Execute([]string) error {
	proxy, token, err := c.open()
	if err != nil {
		return err
	}
	versions, err := proxy.History(context.Background(), &generated.HistoryPayload{Token: &token})
	if err != nil {
		return plainError(err)
	}
	for _, v := range versions {
		fmt.Printf("%d\t%s\t%d bytes\n", v.Version, v.ChangeID, len(v.Text))
	}
	return nil
}

// groupsCommand lists the groups as one proxy observes them.
type groupsCommand struct{ operatorAccess }

// Execute prints each group with its owner, and the members of the groups that
// the proxy owns.
func (c *groupsCommand) Execute([]string) error {
	proxy, token, err := c.open()
	if err != nil {
		return err
	}
	groups, err := proxy.Groups(context.Background(), &generated.GroupsPayload{Token: &token})
	if err != nil {
		return plainError(err)
	}
	for _, g := range groups {
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

// verifierCommand creates a password verifier.
type verifierCommand struct{}

// Execute reads a password from standard input and prints its verifier.
func (*verifierCommand) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && line == "" {
		return command.UsageError("no password on standard input")
	}
	verifier, err := password.NewVerifier(strings.TrimRight(line, "\r\n"))
	if err != nil {
		return err
	}
	fmt.Println(verifier)
	return nil
}

// plainError replaces an error that a proxy returned by one with the text that
// the proxy sent. The Error method of the generated types only describes the type.
func plainError(err error) error {
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
