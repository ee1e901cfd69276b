package design

import . "goa.design/goa/v3/dsl" //nolint:revive // goa's own way of writing a design

var entry = Type("Entry", func() {
	Description("One key of the platform's store.")
	Attribute("Key", String)
	Attribute("Value", String, "Text of at most one megabyte.")
	Attribute("Version", UInt64, "Grows by one with each change of the key; 0 means that the key is absent.")
	Attribute("ChangeID", String, "Identifier that the writer gave to the change that set this version.")
	Required("Key", "Value", "Version", "ChangeID")
})

var listedProxy = Type("ListedProxy", func() {
	Description("A proxy on the platform's host list.")
	Attribute("Name", String)
	Attribute("DataCentre", String)
	Attribute("Address", String, "IP number and port for other proxies.")
	Attribute("Leaving", Boolean)
	Required("Name", "DataCentre", "Address", "Leaving")
})

var listedEndpoint = Type("ListedEndpoint", func() {
	Description("A member of a database group on the platform's host list.")
	Attribute("Name", String)
	Attribute("Group", String)
	Attribute("DataCentre", String)
	Attribute("Address", String, "IP number and port of the PostgreSQL listener.")
	Attribute("Leaving", Boolean)
	Attribute("Slots", Int, "Statements that the member runs at one time.")
	Attribute("Connections", Int, "Connections that the member accepts.")
	Required("Name", "Group", "DataCentre", "Address", "Leaving", "Slots", "Connections")
})

var hostList = Type("HostList", func() {
	Description("The platform's lagging list of live and leaving hosts.")
	Attribute("Proxies", ArrayOf(listedProxy))
	Attribute("Endpoints", ArrayOf(listedEndpoint))
	Required("Proxies", "Endpoints")
})

var _ = Service("platform", func() {
	Description("The platform's key-value service and host list.")
	Error("unavailable", ErrorResult, "The store does not serve at the moment.")
	Error("conflict", ErrorResult, "The key has another version or another holder.")
	HTTP(func() {
		Response("unavailable", StatusServiceUnavailable)
		Response("conflict", StatusConflict)
	})

	Method("read", func() {
		Description("Reads a key; an absent key has version 0.")
		Payload(func() {
			Attribute("Key", String)
			Required("Key")
		})
		Result(entry)
		HTTP(func() { GET("/v1/keys/{Key}") })
	})
	Method("watch", func() {
		Description("Waits until the key has a version above the one given, or the wait ends, and reads it.")
		Payload(func() {
			Attribute("Key", String)
			Attribute("Above", UInt64)
			Attribute("WaitMs", Int, "Milliseconds to wait at most.")
			Required("Key", "Above", "WaitMs")
		})
		Result(entry)
		HTTP(func() {
			GET("/v1/watch/{Key}")
			Param("Above")
			Param("WaitMs")
		})
	})
	Method("swap", func() {
		Description("Sets a key if it still has the expected version.")
		Payload(func() {
			Attribute("Key", String)
			Attribute("Expected", UInt64)
			Attribute("Value", String)
			Attribute("ChangeID", String)
			Required("Key", "Expected", "Value", "ChangeID")
		})
		Result(entry)
		HTTP(func() { POST("/v1/keys/{Key}") })
	})
	Method("lease", func() {
		Description("Takes or renews a lease on a key.")
		Payload(func() {
			Attribute("Key", String)
			Attribute("Holder", String)
			Attribute("TermMs", Int, "Milliseconds until the lease lapses.")
			Required("Key", "Holder", "TermMs")
		})
		Result(func() {
			Attribute("Holder", String)
			Attribute("Granted", Boolean)
			Required("Holder", "Granted")
		})
		HTTP(func() { POST("/v1/leases/{Key}") })
	})
	Method("hosts", func() {
		Description("Lists live and leaving hosts, as the platform last saw them.")
		Result(hostList)
		HTTP(func() { GET("/v1/hosts") })
	})
})
