// Package eelgrassladder is a database proxy with session consistency. Operators
// control it only by stating a target for each class of work.
//
// This root package has the interfaces of all behaviour that varies. Their
// implementations are below internal/ and platform/:
//
//	Dispatcher  sends a request to the owner of its group          (host/dispatch)
//	Sibling     another proxy, or this one                         (peer/proxy, host/service)
//	Member      the control side of a member of a database group   (peer/endpoint)
//	Store       a key-value service with versions                  (peer/platform)
//	Directory   the list of hosts                                  (peer/platform)
//	Admission   which work goes first and which is refused         (policy/admission)
//	Router      at which members a request may run                 (policy/routing)
//	Timer       a service for periodic and one-time events         (host/timer)
//	Clock       the time since boot                                (host/clock)
//	Connector   opens connections to endpoints                     (platform/endpoint)
//	Delegator   runs operations at other proxies                   (host/delegation)
//	Promoter    promotes a member of a database group              (platform/promoter)
//	Budget      limits the memory that clients hold                (table/budget)
//	Refusals    records refused clients                            (host/refusal)
//	KeyValue    a key-value store with transactions and leases     (platform/store)
//
// Run `go run ./cmd/eelgrasslab demo` to see a request pass through all parts.
package eelgrassladder
