package caller

import (
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/model/session"
)

// The proxy's own settings. Callers use SET and SHOW for them as for PostgreSQL's.
const (
	settingPrefix      = "eelgrassladder."
	settingClass       = settingPrefix + "class"
	settingSession     = settingPrefix + "session"
	settingSessionName = settingPrefix + "session_name"
	settingKey         = settingPrefix + "request_key"
)

// maxSettingBytes is the limit for the value of a setting other than the session.
const maxSettingBytes = 256

// settingPattern matches SET and SHOW of the proxy's settings. Its groups are the
// keyword, the name, a quoted value and an unquoted value.
var settingPattern = regexp.MustCompile(`(?is)^\s*(set|show)\s+(?:session\s+)?(eelgrassladder\.[a-z_]+)\s*(?:(?:=|\bto\b)\s*(?:'([^']*)'|([\w.:,-]+|default)))?\s*;?\s*$`)

// settingMessage is a message of the extended protocol whose statement sets or shows
// one of the proxy's settings. Its kind is the message type, except for the Describe
// of a portal, for which it is 'p'.
type settingMessage struct {
	kind byte
	text string
}

// isSettingStatement reports whether a statement sets or shows one of the proxy's
// settings. It reports false for texts of 16.5 KiB or more without searching them.
func isSettingStatement(text string) bool {
	return len(text) < 2*maxSettingBytes+16<<10 && strings.Contains(strings.ToLower(text), settingPrefix) && settingPattern.MatchString(text)
}

// settingResult is the result of a SET or SHOW of one of the proxy's settings.
type settingResult struct {
	// column is the name of the setting for SHOW, and empty for SET.
	column string
	// value is the value for SHOW, and the session token after SET.
	value string
	// session is true for a SET of the session.
	session bool
}

// runSetting runs a SET or SHOW that settingPattern matches.
func (c *connection) runSetting(text string) (settingResult, *request.Refusal) {
	parts := settingPattern.FindStringSubmatch(text)
	name := strings.ToLower(parts[2])
	if strings.EqualFold(parts[1], "show") {
		value, refusal := c.settingValue(name)
		return settingResult{column: name, value: value}, refusal
	}
	value := parts[3]
	if value == "" && !strings.EqualFold(parts[4], "default") {
		value = parts[4]
	}
	refusal := c.setSetting(name, value)
	return settingResult{session: name == settingSession, value: c.token.String()}, refusal
}

// settingValue returns the value of one of the proxy's settings.
func (c *connection) settingValue(name string) (string, *request.Refusal) {
	switch name {
	case settingClass:
		return c.class, nil
	case settingSession:
		return c.token.String(), nil
	case settingSessionName:
		return c.sessionName, nil
	case settingKey:
		return c.requestKey, nil
	default:
		return "", &request.Refusal{Code: "42704", Message: "unrecognized setting \"" + name + "\""}
	}
}

// setSetting sets one of the proxy's settings. A session token replaces the current
// one, so that a connection can serve several sessions in turn.
func (c *connection) setSetting(name, value string) *request.Refusal {
	if name != settingSession && len(value) > maxSettingBytes {
		return &request.Refusal{Code: request.CodeBadValue, Message: "value of \"" + name + "\" is too long"}
	}
	switch name {
	case settingClass:
		return c.setClass(value)
	case settingSession:
		token, err := session.Parse(value)
		if err != nil {
			return &request.Refusal{
				Code: request.CodeBadValue, Message: err.Error(),
				Hint: "Pass on the value of SHOW eelgrassladder.session unchanged.",
			}
		}
		c.token = token
	case settingSessionName:
		c.sessionName = value
	case settingKey:
		c.requestKey = value
	default:
		return &request.Refusal{Code: "42704", Message: "unrecognized setting \"" + name + "\""}
	}
	return nil
}

// setClass sets the class of the connection's requests; an empty name stands for the
// caller's first class.
func (c *connection) setClass(name string) *request.Refusal {
	configured, ok := c.frontend.versions.Current().Caller(c.caller)
	if !ok {
		return &request.Refusal{Code: request.CodeNotAllowed, Message: "caller is no longer in the configuration"}
	}
	if name == "" {
		name = configured.Classes[0]
	}
	if _, ok := c.frontend.versions.Current().Class(name); !ok {
		return &request.Refusal{
			Code: request.CodeBadValue, Message: "unknown class of work \"" + name + "\"",
			Hint: "The caller may use: " + strings.Join(configured.Classes, ", ") + ".",
		}
	}
	if !configured.MayUse(name) {
		return &request.Refusal{
			Code: request.CodeNotAllowed, Message: "caller may not use class \"" + name + "\"",
			Hint: "The caller may use: " + strings.Join(configured.Classes, ", ") + ".",
		}
	}
	c.class = name
	return nil
}

// answerSettings answers a batch about the proxy's settings.
func (c *connection) answerSettings(b *batch) []byte {
	var out encoder
	for _, m := range b.settings {
		switch m.kind {
		case 'P':
			out.add(&pgproto3.ParseComplete{})
		case 'B':
			out.add(&pgproto3.BindComplete{})
		case 'D':
			out.add(&pgproto3.ParameterDescription{})
			out.add(describeSetting(m.text))
		case 'p':
			out.add(describeSetting(m.text))
		case 'E':
			result, refusal := c.runSetting(m.text)
			if refusal != nil {
				out.addError(*refusal)
				return out.finish(c.status())
			}
			out.addSettingResult(result, false)
		}
	}
	return out.finish(c.status())
}

// describeSetting returns the answer to the Describe of a SET or SHOW.
func describeSetting(text string) pgproto3.BackendMessage {
	parts := settingPattern.FindStringSubmatch(text)
	if strings.EqualFold(parts[1], "set") {
		return &pgproto3.NoData{}
	}
	return textColumn(strings.ToLower(parts[2]))
}

// textColumn returns the description of a row with one column of type text.
func textColumn(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}
