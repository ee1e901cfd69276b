package design

import . "goa.design/goa/v3/dsl" //nolint:revive // goa's own way of writing a design

var configurationVersion = Type("ConfigurationVersion", func() {
	Attribute("Version", UInt64)
	Attribute("ChangeID", String)
	Attribute("Text", String, "JSON with comments.")
	Required("Version", "ChangeID", "Text")
})

var observedMember = Type("ObservedMember", func() {
	Attribute("Name", String)
	Attribute("DataCentre", String)
	Attribute("Role", String)
	Attribute("Term", UInt64)
	Attribute("Received", UInt64)
	Attribute("Applied", UInt64)
	Attribute("Reachable", Boolean)
	Attribute("Leaving", Boolean)
	Required("Name", "DataCentre", "Role", "Term", "Received", "Applied", "Reachable", "Leaving")
})

var observedGroup = Type("ObservedGroup", func() {
	Attribute("Name", String)
	Attribute("Owner", String)
	Attribute("Term", UInt64)
	Attribute("Primary", String)
	Attribute("Serving", Boolean)
	Attribute("Members", ArrayOf(observedMember))
	Required("Name", "Owner", "Term", "Primary", "Serving", "Members")
})

var burnCount = Type("BurnCount", func() {
	Description("Good and bad requests of one class in one window, as one proxy saw them.")
	Attribute("Class", String)
	Attribute("DataCentre", String)
	Attribute("Window", String)
	Attribute("CoveredSeconds", Float64, "Seconds of the window that this proxy remembers.")
	Attribute("Good", UInt64)
	Attribute("Bad", UInt64)
	Attribute("Share", Float64, "Share of good requests that the target asks for.")
	Required("Class", "DataCentre", "Window", "CoveredSeconds", "Good", "Bad", "Share")
})

var _ = Service("operator", func() {
	Description("What operators read and set.")
	Security(bearerToken)
	Error("unauthorized", String, "The token is not the operators' token.")
	Error("conflict", String, "The configuration has moved on; the text names both versions.")
	Error("invalid", ArrayOf(String), "The findings, each with its line and path.")
	Error("unknown", String, "Whether the change took effect is not known; read it back.")
	HTTP(func() {
		Response("unauthorized", StatusUnauthorized)
		Response("conflict", StatusConflict)
		Response("invalid", StatusUnprocessableEntity)
		Response("unknown", StatusGatewayTimeout)
	})

	Method("configuration", func() {
		Description("Reads the configuration in force at this proxy.")
		Payload(func() { Token("Token", String) })
		Result(configurationVersion)
		HTTP(func() { GET("/v1/configuration") })
	})
	Method("history", func() {
		Description("Lists the versions that this proxy has seen in force.")
		Payload(func() { Token("Token", String) })
		Result(ArrayOf(configurationVersion))
		HTTP(func() { GET("/v1/configuration/history") })
	})
	Method("configure", func() {
		Description("Accepts a configuration that was based on the given version.")
		Payload(func() {
			Token("Token", String)
			Attribute("Based", UInt64, "Version that the change was based on.")
			Attribute("Text", String)
			Attribute("ChangeID", String)
			Required("Based", "Text", "ChangeID")
		})
		Result(configurationVersion)
		HTTP(func() { PUT("/v1/configuration") })
	})
	Method("groups", func() {
		Description("Lists groups, owners, members and terms as this proxy observes them.")
		Payload(func() { Token("Token", String) })
		Result(ArrayOf(observedGroup))
		HTTP(func() { GET("/v1/groups") })
	})
	Method("burn", func() {
		Description("Counts good and bad requests per class and window at this proxy.")
		Payload(func() { Token("Token", String) })
		Result(ArrayOf(burnCount))
		HTTP(func() { GET("/v1/burn") })
	})
})
