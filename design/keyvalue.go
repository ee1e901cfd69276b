package design

import . "goa.design/goa/v3/dsl" //nolint:revive // goa's own way of writing a design

var keyValueItem = Type("Item", func() {
	Description("One key of the store, or the news that a key is gone.")
	Attribute("key", String)
	Attribute("value", Bytes)
	Attribute("revision", UInt64, "Revision of the last change.")
	Attribute("created-rev", UInt64, "Revision at which the key was created.")
	Attribute("lease", UInt64, "Lease that the key ends with; 0 for none.")
	Attribute("deleted", Boolean)
	Required("key", "revision")
})

var keyValueCondition = Type("Condition", func() {
	Description("A revision that a key must have; 0 means that the key must not exist.")
	Attribute("key", String)
	Attribute("revision", UInt64)
	Required("key", "revision")
})

var keyValuePut = Type("Put", func() {
	Attribute("key", String)
	Attribute("value", Bytes)
	Attribute("lease", UInt64)
	Required("key", "value")
})

var keyValueConflict = Type("Conflict", func() {
	Description("The present state of the keys of the conditions.")
	Attribute("items", ArrayOf(keyValueItem))
})

var _ = Service("kv", func() {
	Description("The key-value store of the users' platform.")
	Error("conflict", keyValueConflict, "A condition does not hold; nothing was done.")
	HTTP(func() {
		Response("conflict", StatusPreconditionFailed)
	})

	Method("range", func() {
		Description("Lists the keys below a prefix, a page at a time.")
		Payload(func() {
			Attribute("path-prefix", String, func() { Default("") })
			Attribute("after", String, "Key that the page begins after.")
		})
		Result(func() {
			Attribute("items", ArrayOf(keyValueItem))
			Attribute("has-more", Boolean)
			Attribute("at-rev", UInt64)
			Required("at-rev")
		})
		HTTP(func() {
			GET("/kv-range")
			Param("path-prefix")
			Param("after")
		})
	})
	Method("watch", func() {
		Description("Waits for changes below a prefix after a revision.")
		Payload(func() {
			Attribute("path-prefix", String, func() { Default("") })
			Attribute("after", UInt64)
			Attribute("wait-ms", UInt32)
			Required("after", "wait-ms")
		})
		Result(func() {
			Attribute("events", ArrayOf(keyValueItem))
			Attribute("at-rev", UInt64)
			Required("at-rev")
		})
		HTTP(func() {
			GET("/kv-watch")
			Param("path-prefix")
			Param("after")
			Param("wait-ms")
		})
	})
	Method("txn", func() {
		Description("Changes keys if all conditions hold.")
		Payload(func() {
			Attribute("expected-rev", ArrayOf(keyValueCondition))
			Attribute("put-entries", ArrayOf(keyValuePut))
			Attribute("delete-keys", ArrayOf(String))
			Required("expected-rev", "put-entries", "delete-keys")
		})
		Result(func() {
			Attribute("revision", UInt64)
			Required("revision")
		})
		HTTP(func() { POST("/kv-txn") })
	})
	Method("lease", func() {
		Description("Creates a lease.")
		Payload(func() {
			Attribute("ttl-ms", UInt32)
			Required("ttl-ms")
		})
		Result(func() {
			Attribute("lease", UInt64)
			Attribute("ttl-ms", UInt32)
			Required("lease")
		})
		HTTP(func() { POST("/kv-lease") })
	})
	Method("keep", func() {
		Description("Renews a lease.")
		Payload(func() {
			Attribute("lease", UInt64)
			Required("lease")
		})
		HTTP(func() {
			POST("/kv-keep/{lease}")
			Response(StatusOK)
		})
	})
	Method("end", func() {
		Description("Ends a lease; its keys are removed.")
		Payload(func() {
			Attribute("lease", UInt64)
			Required("lease")
		})
		HTTP(func() {
			DELETE("/kv-lease-end/{lease}")
			Response(StatusOK)
		})
	})
})

var _ = Service("cloud", func() {
	Description("Calls of the users' platform that one proxy at a time makes.")
	Method("promote", func() {
		Description("Names the member that leads a group from now on.")
		Payload(func() {
			Attribute("service", String)
			Attribute("id", String)
			Attribute("holder", String)
			Attribute("token", UInt64)
			Required("service", "id", "holder", "token")
		})
		HTTP(func() {
			POST("/promotion")
			Header("holder:X-Eelgrassladder-Duty-Holder")
			Header("token:X-Eelgrassladder-Fencing-Token")
			Response(StatusOK)
		})
	})
})
