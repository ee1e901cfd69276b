// Package design describes the HTTP interfaces of the system in goa: the
// platform's key-value service and host list, the operators' interface and
// the callers' HTTP front end. Run `go generate ./design` after a change.
package design

import (
	. "goa.design/goa/v3/dsl" //nolint:revive // goa's own way of writing a design
	// The generator needs the HTTP runtime in the module graph.
	_ "goa.design/goa/v3/http"
)

//go:generate go tool goa gen eelgrassladder.example/eelgrassladder/design -o ..

var _ = API("eelgrassladder", func() {
	Title("eelgrassladder")
	Description("A database proxy with session consistency, driven by targets per class of work.")
})

var bearerToken = JWTSecurity("bearer", func() {
	Description("The operators' token, sent as a bearer token.")
})

var callerPassword = BasicAuthSecurity("caller", func() {
	Description("The caller's name and password.")
})
