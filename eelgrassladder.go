// Package eelgrassladder is a database proxy with session consistency that
// operators drive by targets per class of work alone.
//
// This root package holds the interfaces behind which behaviour varies; their
// implementations are below internal/:
//
//	Dispatcher  brings a request to the owner of its group  (host/dispatch)
//	Sibling     another proxy, or this one                  (peer/proxy, host/service)
//	Member      the control side of a database member       (peer/endpoint)
//	Store       the platform's key-value service            (peer/platform)
//	Directory   the platform's host list                    (peer/platform)
//	Admission   which work goes first, which is refused     (policy/admission)
//	Router      at which members a request may run          (policy/routing)
//	Timer       the time service that parts subscribe to    (host/timer)
//
// Run `go run ./cmd/eelgrasslab demo` to see the whole path at work.
package eelgrassladder
