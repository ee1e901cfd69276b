package design

import . "goa.design/goa/v3/dsl" //nolint:revive // goa's own way of writing a design

var statement = Type("Statement", func() {
	Attribute("SQL", String)
	Attribute("Arguments", ArrayOf(String), "Text of each parameter, in order.")
	Required("SQL")
})

var statementResult = Type("StatementResult", func() {
	Attribute("Columns", ArrayOf(String))
	Attribute("Rows", ArrayOf(ArrayOf(Any)), "Text of each value, or null.")
	Attribute("Tag", String)
	Required("Columns", "Rows", "Tag")
})

var _ = Service("work", func() {
	Description("The callers' HTTP front end.")
	Security(callerPassword)
	Error("unauthorized", String, "The caller is unknown or the password is wrong.")
	HTTP(func() { Response("unauthorized", StatusUnauthorized) })

	Method("run", func() {
		Description("Runs a statement or a short transaction.")
		Payload(func() {
			Username("Caller", String)
			Password("Password", String)
			Attribute("Database", String)
			Attribute("Class", String)
			Attribute("Session", String, "Token of the session.")
			Attribute("SessionName", String)
			Attribute("Key", String, "Request key; a key runs at most once.")
			Attribute("ReadOnly", Boolean)
			Attribute("Statements", ArrayOf(statement))
			Required("Database", "Statements")
		})
		Result(func() {
			Attribute("Outcome", String, func() { Enum("Done", "Failed", "NotRun", "Unknown") })
			Attribute("Results", ArrayOf(statementResult))
			Attribute("Session", String)
			Attribute("Code", String, "SQLSTATE when the outcome is not Done.")
			Attribute("Message", String)
			Attribute("RetryAfterMs", Int)
			Required("Outcome")
		})
		HTTP(func() {
			POST("/v1/run")
			Header("Session:Eelgrassladder-Session")
			Response(StatusOK, func() { Header("Session:Eelgrassladder-Session") })
		})
	})
})
